/** @file settings_cmd.cpp The settings command, and the encoding of changes and settings. */
#include "version/settings_func.h"

#include "core/invariant.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    constexpr std::size_t historyLimit = 500;
    constexpr unsigned changeVerdictCount = 3;

    ChangeRecord validateChange(const SettingsState& state, const SettingsChange& change)
    {
        ChangeRecord record { .m_change = change };
        const auto subtree = state.m_subtrees.find(change.m_path);
        const Revision current = subtree == state.m_subtrees.end() ? Revision {} : subtree->second.m_revision;
        if (change.m_baseRevision != current) {
            record.m_verdict = ChangeVerdict::Conflict;
            record.m_reason = "the change is based on revision " + std::to_string(change.m_baseRevision.m_value) + " of " + change.m_path + ", but revision " + std::to_string(current.m_value) + " is current";
            if (subtree != state.m_subtrees.end())
                record.m_reason += " (changed by " + subtree->second.m_operator + ")";
            return record;
        }
        const auto checked = change.m_yaml.empty() ? checkSubtreePath(change.m_path) : checkSubtree(change.m_path, change.m_yaml);
        if (!checked) {
            record.m_verdict = ChangeVerdict::Invalid;
            record.m_reason = describe(checked.error());
        }
        return record;
    }

    void applyChange(SettingsState& state, const SettingsChange& change, Revision revision)
    {
        state.m_version = revision.m_value;
        if (change.m_yaml.empty())
            state.m_subtrees.erase(change.m_path);
        else
            state.m_subtrees[change.m_path] = { .m_revision = revision, .m_yaml = change.m_yaml, .m_operator = change.m_operator, .m_wall = change.m_wall };
    }

    Json encode(const SettingsChange& change)
    {
        return Json::array({ change.m_id, change.m_operator, change.m_path, change.m_baseRevision.m_value, change.m_yaml, change.m_wall.m_ms });
    }

    SettingsChange decode(const Json& row)
    {
        return { .m_id = row.at(0), .m_operator = row.at(1), .m_path = row.at(2), .m_baseRevision = { row.at(3).get<std::uint64_t>() }, .m_yaml = row.at(4), .m_wall = { row.at(5) } };
    }

    std::vector<std::string> splitLines(const std::string& text)
    {
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

} // namespace

ChangeRecord changeSettings(SettingsState& state, const SettingsChange& change, Offset offset, CommandMode mode)
{
    if (const ChangeRecord* const known = findChange(state, change.m_id)) {
        ChangeRecord recordedChange = *known;
        if (mode == CommandMode::Execute)
            state.m_next = Offset { offset.m_value + 1 };
        return recordedChange;
    }
    ChangeRecord record = validateChange(state, change);
    if (mode == CommandMode::Test)
        return record;

    BULRUSH_INVARIANT(offset == state.m_next, "settings changes are applied in log order");
    state.m_next = Offset { offset.m_value + 1 };
    if (record.m_verdict == ChangeVerdict::Accepted) {
        record.m_revision = Revision { offset.m_value + 1 };
        BULRUSH_INVARIANT(record.m_revision.m_value > state.m_version, "the settings version increases with every accepted change");
        applyChange(state, change, record.m_revision);
    }
    state.m_history.push_back(record);
    if (state.m_history.size() > historyLimit)
        state.m_history.pop_front();
    return record;
}

void skipSettingsEntry(SettingsState& state, Offset offset)
{
    state.m_next = Offset { offset.m_value + 1 };
}

const ChangeRecord* findChange(const SettingsState& state, const std::string& id)
{
    const auto found = std::find_if(state.m_history.rbegin(), state.m_history.rend(), [&id](const ChangeRecord& record) { return record.m_change.m_id == id; });
    return found == state.m_history.rend() ? nullptr : &*found;
}

std::string diffLines(const std::string& before, const std::string& after)
{
    const std::vector<std::string> beforeLines = splitLines(before);
    const std::vector<std::string> afterLines = splitLines(after);
    std::vector<std::vector<std::size_t>> commonLength(beforeLines.size() + 1, std::vector<std::size_t>(afterLines.size() + 1, 0));
    for (std::size_t i = beforeLines.size(); i-- > 0;) {
        for (std::size_t j = afterLines.size(); j-- > 0;)
            commonLength[i][j] = beforeLines[i] == afterLines[j] ? commonLength[i + 1][j + 1] + 1 : std::max(commonLength[i + 1][j], commonLength[i][j + 1]);
    }
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < beforeLines.size() || j < afterLines.size()) {
        const bool isSame = i < beforeLines.size() && j < afterLines.size() && beforeLines[i] == afterLines[j];
        if (isSame) {
            ++i;
            ++j;
        } else if (j >= afterLines.size() || (i < beforeLines.size() && commonLength[i + 1][j] >= commonLength[i][j + 1])) {
            text += "- " + beforeLines[i++] + "\n";
        } else {
            text += "+ " + afterLines[j++] + "\n";
        }
    }
    return text;
}

std::string encodeChange(const SettingsChange& change)
{
    std::string bytes;
    Json::to_cbor(encode(change), bytes);
    return bytes;
}

Expected<SettingsChange> decodeChange(std::string_view bytes)
{
    try {
        return decode(Json::from_cbor(bytes));
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the settings entry can't be decoded: ") + error.what(), "the entry is skipped; check whether another program writes to the stream");
    }
}

std::string encodeSettings(const SettingsState& state)
{
    Json subtrees = Json::array();
    for (const auto& [path, subtree] : state.m_subtrees)
        subtrees.push_back(Json::array({ path, subtree.m_revision.m_value, subtree.m_yaml, subtree.m_operator, subtree.m_wall.m_ms }));
    Json history = Json::array();
    for (const ChangeRecord& record : state.m_history)
        history.push_back(Json::array({ encode(record.m_change), static_cast<unsigned>(record.m_verdict), record.m_revision.m_value, record.m_reason }));
    std::string bytes;
    Json::to_cbor(Json::array({ state.m_next.m_value, state.m_version, std::move(subtrees), std::move(history) }), bytes);
    return bytes;
}

Expected<SettingsState> decodeSettings(std::string_view bytes)
{
    try {
        const Json root = Json::from_cbor(bytes);
        SettingsState state;
        state.m_next.m_value = root.at(0);
        state.m_version = root.at(1);
        for (const Json& row : root.at(2))
            state.m_subtrees[row.at(0)] = { .m_revision = { row.at(1).get<std::uint64_t>() }, .m_yaml = row.at(2), .m_operator = row.at(3), .m_wall = { row.at(4) } };
        for (const Json& row : root.at(3)) {
            const unsigned verdict = row.at(1);
            if (verdict >= changeVerdictCount)
                throw std::out_of_range("unknown verdict");
            state.m_history.push_back({ .m_change = decode(row.at(0)), .m_verdict = static_cast<ChangeVerdict>(verdict), .m_revision = { row.at(2).get<std::uint64_t>() }, .m_reason = row.at(3) });
        }
        return state;
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the settings can't be decoded: ") + error.what(), "they are fetched from another source");
    }
}

} // namespace bulrushloft
