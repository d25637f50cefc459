/** @file fake_store.h In-memory metadata store: partitions of keyed topics, fenced writers, conditional appends. */
#pragma once

#include "connection/store_type.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace bulrushloft::test {

/** Answers calls as the store's documentation specifies. The caller simulates delays and losses. */
class FakeStore {
public:
    StoreAppendAnswer append(const StoreAppend& append)
    {
        Partition& partition = m_partitions[append.m_partition];
        if (append.m_writer) {
            Writer& writer = partition.m_writers[append.m_writer->m_name];
            if (append.m_writer->m_epoch < writer.m_epoch)
                return { .m_status = StoreStatus::Fenced, .m_offset = 0, .m_end = partition.end() };
            if (append.m_writer->m_epoch > writer.m_epoch)
                writer = { .m_epoch = append.m_writer->m_epoch, .m_sequence = {}, .m_answers = {} };
            if (append.m_records.empty()) // It only sets the epoch; the first append with records may still start at any sequence number.
                return { .m_status = StoreStatus::Done, .m_offset = partition.end(), .m_end = partition.end() };
            if (const auto duplicate = writer.m_answers.find(append.m_writer->m_sequence); duplicate != writer.m_answers.end())
                return duplicate->second;
            if (writer.m_sequence && append.m_writer->m_sequence != *writer.m_sequence + 1)
                return { .m_status = StoreStatus::OutOfSequence, .m_offset = 0, .m_end = partition.end() };
        }
        if (append.m_expectedEnd && *append.m_expectedEnd != partition.end())
            return { .m_status = StoreStatus::EndMismatch, .m_offset = 0, .m_end = partition.end() };
        StoreAppendAnswer answer { .m_status = StoreStatus::Done, .m_offset = partition.end() };
        for (KeyedRecord record : append.m_records) {
            record.m_offset = partition.end();
            partition.m_records.push_back(record);
            if (record.m_value.empty())
                partition.m_newestByKey.erase(record.m_key);
            else
                partition.m_newestByKey[record.m_key] = record;
        }
        answer.m_end = partition.end();
        if (append.m_writer)
            recordAnswer(partition.m_writers[append.m_writer->m_name], append.m_writer->m_sequence, answer);
        return answer;
    }

    StoreReadAnswer read(const StoreRead& read)
    {
        Partition& partition = m_partitions[read.m_partition];
        if (read.m_from < partition.m_firstOffset)
            return { .m_status = StoreStatus::Expired, .m_end = partition.end() };
        StoreReadAnswer answer { .m_status = StoreStatus::Done, .m_end = partition.end() };
        for (std::uint64_t offset = read.m_from; offset < partition.end(); ++offset)
            answer.m_records.push_back(partition.m_records[offset - partition.m_firstOffset]);
        return answer;
    }

    StoreNewestAnswer newest(const StoreNewestRead& newest)
    {
        Partition& partition = m_partitions[newest.m_partition];
        StoreNewestAnswer answer { .m_status = StoreStatus::Done, .m_records = {}, .m_hasMore = false, .m_end = partition.end() };
        auto record = newest.m_after.empty() ? partition.m_newestByKey.begin() : partition.m_newestByKey.upper_bound(newest.m_after);
        for (; record != partition.m_newestByKey.end() && answer.m_records.size() < m_pageSize; ++record)
            answer.m_records.push_back(record->second);
        answer.m_hasMore = record != partition.m_newestByKey.end();
        return answer;
    }

    std::size_t m_pageSize = 50; ///< Maximum number of records in a page of newest(); small, so that tests need few records for several pages.

    /** Simulates compaction: reads of earlier offsets fail as Expired; newest() still returns the newest record of each key. */
    void compactTopics()
    {
        for (auto& [name, partition] : m_partitions) {
            partition.m_firstOffset = partition.end();
            partition.m_records.clear();
        }
    }

private:
    struct Writer {
        std::uint64_t m_epoch = 0; ///< Highest epoch that has appended.
        std::optional<std::uint64_t> m_sequence; ///< Sequence number of the latest append with records in the epoch; unset before the first one.
        std::map<std::uint64_t, StoreAppendAnswer> m_answers; ///< Answers to the latest appends by sequence number, so that a retry gets the original answer.
    };

    static void recordAnswer(Writer& writer, std::uint64_t sequence, const StoreAppendAnswer& answer)
    {
        constexpr std::size_t answersKept = 5;
        writer.m_sequence = sequence;
        writer.m_answers[sequence] = answer;
        if (writer.m_answers.size() > answersKept)
            writer.m_answers.erase(writer.m_answers.begin());
    }

    struct Partition {
        std::uint64_t m_firstOffset = 0; ///< Offset of the first record that is kept.
        std::vector<KeyedRecord> m_records; ///< Records from m_firstOffset on.
        std::map<std::string, KeyedRecord> m_newestByKey; ///< Newest record of each key; a key whose newest value is empty is absent.
        std::map<std::string, Writer> m_writers; ///< By name of the writer.

        std::uint64_t end() const { return m_firstOffset + m_records.size(); }
    };

    std::map<StorePartition, Partition> m_partitions; ///< Each with its own offsets, records and writers.
};

} // namespace bulrushloft::test
