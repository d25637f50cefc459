/** @file record_parts.cpp Records of the leader that are larger than the store takes. */
#include "process/cell/record_parts.h"

#include "core/log_func.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace bulrushloft::cell {

namespace {

    constexpr char partSeparator = '#'; ///< No other key of the topic begins with it.
    constexpr char partsMark = '\xff'; ///< First character of a record that has parts; neither CBOR nor JSON begins with it.

    std::string partKey(const std::string& key, std::uint32_t number)
    {
        return number == 0 ? key : partSeparator + std::to_string(number) + partSeparator + key;
    }

    /** @return What precedes the first part of a record. */
    std::string makeHeader(std::uint32_t parts)
    {
        return partsMark + std::to_string(parts) + partSeparator;
    }

    /** @return The number of parts that a record's header names; empty if the record was not split. */
    std::optional<std::uint32_t> countNamed(const std::string& record)
    {
        const std::size_t end = record.find(partSeparator);
        if (record.empty() || record.front() != partsMark || end == std::string::npos)
            return std::nullopt;
        return static_cast<std::uint32_t>(std::strtoul(record.c_str() + 1, nullptr, 10));
    }

    /** @return The whole of a split record; empty if a part is missing. */
    std::string joinRecord(const std::string& key, const std::string& first, std::uint32_t parts, const std::map<std::string, std::string>& others)
    {
        std::string whole = first.substr(first.find(partSeparator) + 1);
        for (std::uint32_t number = 1; number < parts; ++number) {
            const auto part = others.find(partKey(key, number));
            if (part == others.end() || part->second.empty()) {
                logEvent(LogLevel::Error, "record-part-missing", { { "key", key }, { "part", number }, { "parts", parts } });
                return {};
            }
            whole += part->second;
        }
        return whole;
    }

    /** Takes the further parts out of the records and notes their numbers. */
    std::map<std::string, std::string> takeFurtherParts(PartCounts& counts, std::map<std::string, std::string>& records)
    {
        std::map<std::string, std::string> parts;
        for (auto record = records.begin(); record != records.end();) {
            const std::size_t end = record->first.find(partSeparator, 1);
            if (record->first.front() != partSeparator || end == std::string::npos) {
                ++record;
                continue;
            }
            std::uint32_t& count = counts[record->first.substr(end + 1)];
            count = std::max(count, static_cast<std::uint32_t>(std::strtoul(record->first.c_str() + 1, nullptr, 10)) + 1);
            parts.insert(records.extract(record++));
        }
        return parts;
    }

} // namespace

std::vector<KeyedRecord> splitRecord(PartCounts& counts, KeyedRecord record)
{
    const bool isSplit = record.m_value.size() > maxRecordBytes;
    const auto known = counts.find(record.m_key);
    if (!isSplit && known == counts.end())
        return { std::move(record) };
    const auto parts = isSplit ? static_cast<std::uint32_t>((record.m_value.size() + maxRecordBytes - 1) / maxRecordBytes) : 1U;
    std::vector<KeyedRecord> result;
    for (std::uint32_t number = 0; number < parts; ++number)
        result.push_back({ .m_key = partKey(record.m_key, number), .m_value = record.m_value.substr(number * maxRecordBytes, maxRecordBytes) });
    if (isSplit)
        result.front().m_value = makeHeader(parts) + result.front().m_value;
    const std::uint32_t stored = known == counts.end() ? parts : std::max(known->second, parts);
    for (std::uint32_t number = parts; number < stored; ++number)
        result.push_back({ .m_key = partKey(record.m_key, number), .m_value = {} });
    if (record.m_value.empty())
        counts.erase(record.m_key);
    else
        counts[record.m_key] = stored;
    return result;
}

void joinParts(PartCounts& counts, std::map<std::string, std::string>& records)
{
    const std::map<std::string, std::string> parts = takeFurtherParts(counts, records);
    for (auto& [key, value] : records) {
        if (const auto count = countNamed(value))
            value = joinRecord(key, value, *count, parts);
    }
}

} // namespace bulrushloft::cell
