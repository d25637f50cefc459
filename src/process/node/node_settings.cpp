/** @file node_settings.cpp Reads, changes and snapshots the settings. */
#include "process/node/node_detail.h"

#include "core/log_func.h"
#include "process/node/member_func.h"
#include "process/owner/owner_detail.h"
#include "process/owner/owner_func.h"
#include "version/settings_func.h"

#include <algorithm>

namespace bulrushloft {

namespace detail {

    namespace {

        constexpr Duration longPollTime { 10'000 }; ///< How long the log may hold a read open until there is a new entry.
        constexpr Duration readRetryDelay { 500 };
        constexpr Duration appendRetryDelay { 500 };
        constexpr Duration changeTimeout { 10'000 };
        constexpr Duration fetchInterval { 1'000 };

        void stepReader(Node& node, TimePoint now, Effects& effects)
        {
            SettingsReader& reader = node.m_settingsReader;
            if (reader.m_isInFlight || now < reader.m_retryAt)
                return;
            reader.m_isInFlight = true;
            reader.m_ticket = ++node.m_lastTicket;
            if (!reader.m_isSnapshotLoaded) {
                effects.m_reads.push_back({ .m_stream = settingsSnapshotStream, .m_from = reader.m_snapshotNext, .m_waitFor = {}, .m_ticket = reader.m_ticket });
                return;
            }
            const Duration wait = reader.m_isCaughtUp ? longPollTime : Duration {};
            effects.m_reads.push_back({ .m_stream = settingsStream, .m_from = node.m_settings.m_next, .m_waitFor = wait, .m_ticket = reader.m_ticket });
        }

        /** Fetches the settings from a peer that has newer ones, so that they arrive even while the log can't be read. */
        void stepFetch(Node& node, TimePoint now, Effects& effects)
        {
            SettingsReader& reader = node.m_settingsReader;
            if (now < reader.m_nextFetchAt)
                return;
            reader.m_nextFetchAt = now + fetchInterval;
            const Member* newest = nullptr;
            for (const auto& [name, member] : node.m_members) {
                const bool isNewer = member.m_lastHeartbeat.m_settingsVersion > (newest ? newest->m_lastHeartbeat.m_settingsVersion : node.m_settings.m_version);
                if (isNewer && isAlive(member, now))
                    newest = &member;
            }
            if (newest)
                effects.m_settingsFetches.push_back({ .m_from = newest->m_lastHeartbeat.m_address });
        }

        void stepChanges(Node& node, TimePoint now, Effects& effects)
        {
            for (auto pending = node.m_changes.begin(); pending != node.m_changes.end();) {
                PendingChange& change = pending->second;
                if (!change.m_isInFlight && now >= change.m_retryAt && now < change.m_deadline) {
                    change.m_isInFlight = true;
                    change.m_ticket = ++node.m_lastTicket;
                    effects.m_appends.push_back({ .m_stream = settingsStream, .m_bytes = encodeChange(change.m_change), .m_ticket = change.m_ticket });
                }
                if (now < change.m_deadline) {
                    ++pending;
                    continue;
                }
                for (const CallerToken caller : change.m_callers)
                    answerError(effects, caller, { ErrorKind::TimedOut, "the log has not confirmed settings change " + change.m_change.m_id + " in time", "check its outcome with: bulrushctl settings history" }, RunOutcome::Unknown);
                pending = node.m_changes.erase(pending);
            }
        }

        ChangeAnswer answerFor(const Node& node, const ChangeRecord& record)
        {
            ChangeAnswer answer { .m_record = record };
            const auto inForce = node.m_settings.m_subtrees.find(record.m_change.m_path);
            if (inForce != node.m_settings.m_subtrees.end())
                answer.m_inForce = inForce->second;
            answer.m_diff = diffLines(answer.m_inForce.m_yaml, record.m_change.m_yaml);
            return answer;
        }

        void answerChange(Node& node, const ChangeRecord& record, Effects& effects)
        {
            const auto pending = node.m_changes.find(record.m_change.m_id);
            if (pending == node.m_changes.end())
                return;
            for (const CallerToken caller : pending->second.m_callers)
                effects.m_answers.push_back({ .m_caller = caller, .m_answer = answerFor(node, record) });
            node.m_changes.erase(pending);
        }

        void onSnapshotRead(Node& node, const LogReadAnswer& answer)
        {
            SettingsReader& reader = node.m_settingsReader;
            for (const LogEntry& entry : answer.m_entries) {
                addSnapshotEntry(reader.m_assembler, entry.m_bytes);
                reader.m_snapshotNext = Offset { entry.m_offset.m_value + 1 };
            }
            reader.m_snapshotNext = std::max(reader.m_snapshotNext, answer.m_oldest);
            if (reader.m_snapshotNext < answer.m_end)
                return;
            reader.m_isSnapshotLoaded = true;
            if (reader.m_assembler.m_complete.empty())
                return;
            auto settings = decodeSettings(reader.m_assembler.m_complete);
            reader.m_assembler = {};
            if (settings && settings->m_next > node.m_settings.m_next) {
                node.m_settings = std::move(*settings);
                applySettings(node);
            }
        }

        void onChangesRead(Node& node, const LogReadAnswer& answer, TimePoint now, Effects& effects)
        {
            if (answer.m_oldest > node.m_settings.m_next) {
                // The log has dropped changes that this daemon has not read; they are in a snapshot or on a peer.
                logEvent(LogLevel::Warning, "settings-gap", { { "oldest", answer.m_oldest.m_value }, { "expected", node.m_settings.m_next.m_value } });
                node.m_settingsReader.m_isSnapshotLoaded = false;
                node.m_settingsReader.m_snapshotNext = {};
                node.m_settingsReader.m_retryAt = now + readRetryDelay;
                return;
            }
            const std::uint64_t before = node.m_settings.m_version;
            for (const LogEntry& entry : answer.m_entries) {
                if (entry.m_offset != node.m_settings.m_next)
                    continue;
                const auto change = decodeChange(entry.m_bytes);
                if (!change) {
                    logEvent(LogLevel::Warning, "settings-entry-malformed", { { "offset", entry.m_offset.m_value }, { "error", describe(change.error()) } });
                    skipSettingsEntry(node.m_settings, entry.m_offset);
                    continue;
                }
                const ChangeRecord record = changeSettings(node.m_settings, *change, entry.m_offset, CommandMode::Execute);
                logEvent(LogLevel::Info, "settings-change", { { "path", change->m_path }, { "operator", change->m_operator }, { "verdict", nameOf(record.m_verdict) }, { "revision", record.m_revision.m_value } });
                answerChange(node, record, effects);
            }
            if (node.m_settings.m_version != before)
                applySettings(node);
            if (node.m_settings.m_next >= answer.m_end)
                node.m_settingsReader.m_isCaughtUp = true;
        }

        void onGet(const Node& node, const SettingsGetCall& call, CallerToken caller, TimePoint now, Effects& effects)
        {
            SettingsAnswer answer { .m_version = node.m_settings.m_version, .m_minVersion = node.m_settings.m_version };
            for (const auto& [name, member] : node.m_members) {
                if (isAlive(member, now) && member.m_lastHeartbeat.m_state == MemberState::Ready)
                    answer.m_minVersion = std::min(answer.m_minVersion, member.m_lastHeartbeat.m_settingsVersion);
            }
            for (const auto& [path, subtree] : node.m_settings.m_subtrees) {
                if (call.m_path.empty() || call.m_path == path)
                    answer.m_subtrees.push_back({ .m_path = path, .m_subtree = subtree });
            }
            if (!call.m_path.empty() && answer.m_subtrees.empty()) {
                if (auto checked = checkSubtreePath(call.m_path); !checked)
                    return answerError(effects, caller, checked.error(), RunOutcome::NotRun);
            }
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = std::move(answer) });
        }

        void onChange(Node& node, const SettingsChangeCall& call, CallerToken caller, TimePoint now, Effects& effects)
        {
            if (const auto pending = node.m_changes.find(call.m_change.m_id); pending != node.m_changes.end()) {
                pending->second.m_callers.push_back(caller);
                return;
            }
            SettingsChange change = call.m_change;
            change.m_wall = toWall(now, node.m_options.m_owner.m_wallOffset);
            const ChangeRecord tested = changeSettings(node.m_settings, change, node.m_settings.m_next, CommandMode::Test);
            const bool isKnown = findChange(node.m_settings, change.m_id) != nullptr;
            // A base revision newer than the one in force here means that this daemon is behind; the change is appended, and its verdict follows once the log has been read up to it.
            const auto inForce = node.m_settings.m_subtrees.find(change.m_path);
            const bool isBehind = tested.m_verdict == ChangeVerdict::Conflict && (inForce == node.m_settings.m_subtrees.end() || change.m_baseRevision > inForce->second.m_revision);
            if (isKnown || (tested.m_verdict != ChangeVerdict::Accepted && !isBehind)) {
                effects.m_answers.push_back({ .m_caller = caller, .m_answer = answerFor(node, tested) });
                return;
            }
            if (node.m_settingsReader.m_failures > 1)
                return answerError(effects, caller, { ErrorKind::Unavailable, "the log does not answer, so settings can't be changed at the moment", "retry later" }, RunOutcome::NotRun, { 1'000 });
            node.m_changes[change.m_id] = { .m_change = change, .m_callers = { caller }, .m_deadline = now + changeTimeout };
        }

        void onHistory(const Node& node, const SettingsHistoryCall& call, CallerToken caller, Effects& effects)
        {
            HistoryAnswer answer;
            for (auto record = node.m_settings.m_history.rbegin(); record != node.m_settings.m_history.rend() && answer.m_changes.size() < call.m_limit; ++record) {
                if (call.m_path.empty() || call.m_path == record->m_change.m_path)
                    answer.m_changes.push_back(*record);
            }
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = std::move(answer) });
        }

        void stepSettingsSnapshot(Node& node, TimePoint now, Effects& effects)
        {
            SnapshotWriter& writer = node.m_settingsWriter;
            const bool isIdle = writer.m_nextEntry >= writer.m_entries.size() && !writer.m_isInFlight;
            if (isIdle && now >= writer.m_nextAt && node.m_settings.m_next.m_value > 0) {
                writer.m_nextAt = now + node.m_policy->m_limits.m_snapshotInterval;
                if (!isFirstMember(node, now) || node.m_memberState != MemberState::Ready)
                    return;
                writer.m_entries = splitSnapshot(node.m_options.m_instance.m_value ^ node.m_settings.m_next.m_value, encodeSettings(node.m_settings));
                writer.m_nextEntry = 0;
                writer.m_nextAt = now;
            }
            stepSnapshotWriter(writer, settingsSnapshotStream, node.m_lastTicket, now, effects);
        }

    } // namespace

    void applySettings(Node& node)
    {
        node.m_policy = buildPolicy(node.m_settings);
        for (auto& [name, slot] : node.m_shards) {
            if (slot.m_owner)
                setPolicy(*slot.m_owner, node.m_policy);
        }
    }

    void stepSettings(Node& node, TimePoint now, Effects& effects)
    {
        stepReader(node, now, effects);
        stepFetch(node, now, effects);
        stepChanges(node, now, effects);
        stepSettingsSnapshot(node, now, effects);
    }

    bool onSettingsAppend(Node& node, const AppendEffect& sent, const LogAppendResult& result, TimePoint now)
    {
        if (sent.m_stream == settingsSnapshotStream) {
            SnapshotWriter& writer = node.m_settingsWriter;
            onWriterResult(writer, sent.m_ticket, result.has_value(), now);
            if (writer.m_nextEntry >= writer.m_entries.size()) {
                writer.m_entries.clear();
                writer.m_nextEntry = 0;
                writer.m_nextAt = now + node.m_policy->m_limits.m_snapshotInterval;
            }
            return true;
        }
        if (sent.m_stream != settingsStream)
            return false;
        for (auto& [id, change] : node.m_changes) {
            if (change.m_ticket != sent.m_ticket)
                continue;
            change.m_isInFlight = false;
            change.m_retryAt = result ? farFuture : now + appendRetryDelay;
        }
        return true;
    }

    bool onSettingsRead(Node& node, const ReadEffect& sent, const LogReadResult& result, TimePoint now, Effects& effects)
    {
        const bool isSnapshot = sent.m_stream == settingsSnapshotStream;
        if (!isSnapshot && sent.m_stream != settingsStream)
            return false;
        SettingsReader& reader = node.m_settingsReader;
        if (!reader.m_isInFlight || reader.m_ticket != sent.m_ticket)
            return true;
        reader.m_isInFlight = false;
        if (!result) {
            reader.m_retryAt = now + readRetryDelay;
            ++reader.m_failures;
            return true;
        }
        reader.m_failures = 0;
        if (isSnapshot)
            onSnapshotRead(node, *result);
        else
            onChangesRead(node, *result, now, effects);
        return true;
    }

    void onSettingsCall(Node& node, const CallerCall& call, CallerToken caller, TimePoint now, Effects& effects)
    {
        if (const auto* get = std::get_if<SettingsGetCall>(&call))
            onGet(node, *get, caller, now, effects);
        else if (const auto* change = std::get_if<SettingsChangeCall>(&call))
            onChange(node, *change, caller, now, effects);
        else if (const auto* history = std::get_if<SettingsHistoryCall>(&call))
            onHistory(node, *history, caller, effects);
    }

} // namespace detail

void onSettingsFetched(Node& node, const SettingsState& settings, TimePoint now, Effects& effects)
{
    if (settings.m_version <= node.m_settings.m_version || settings.m_next <= node.m_settings.m_next)
        return;
    logEvent(LogLevel::Info, "settings-fetched", { { "version", settings.m_version } });
    node.m_settings = settings;
    node.m_settingsReader.m_isSnapshotLoaded = true;
    node.m_settingsReader.m_isCaughtUp = true;
    detail::applySettings(node);
    for (const ChangeRecord& record : settings.m_history)
        detail::answerChange(node, record, effects);
    detail::completeCalls(node, now, effects);
}

} // namespace bulrushloft
