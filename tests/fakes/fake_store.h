/** @file fake_store.h In-memory metadata store: keyed topics, fenced writers, conditional appends. */
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
        Topic& topic = m_topics[append.m_partition.m_topic];
        if (append.m_writer) {
            Writer& writer = topic.m_writers[append.m_writer->m_name];
            if (append.m_writer->m_epoch < writer.m_epoch)
                return { .m_status = StoreStatus::Fenced, .m_offset = 0, .m_end = topic.end() };
            if (append.m_writer->m_epoch > writer.m_epoch)
                writer = { .m_epoch = append.m_writer->m_epoch, .m_sequence = {}, .m_answers = {} };
            if (append.m_records.empty()) // It only sets the epoch; the first append with records may still start at any sequence number.
                return { .m_status = StoreStatus::Done, .m_offset = topic.end(), .m_end = topic.end() };
            if (const auto duplicate = writer.m_answers.find(append.m_writer->m_sequence); duplicate != writer.m_answers.end())
                return duplicate->second;
            if (writer.m_sequence && append.m_writer->m_sequence != *writer.m_sequence + 1)
                return { .m_status = StoreStatus::OutOfSequence, .m_offset = 0, .m_end = topic.end() };
        }
        if (append.m_expectedEnd && *append.m_expectedEnd != topic.end())
            return { .m_status = StoreStatus::EndMismatch, .m_offset = 0, .m_end = topic.end() };
        StoreAppendAnswer answer { .m_status = StoreStatus::Done, .m_offset = topic.end() };
        for (KeyedRecord record : append.m_records) {
            record.m_offset = topic.end();
            topic.m_records.push_back(record);
            if (record.m_value.empty())
                topic.m_newestByKey.erase(record.m_key);
            else
                topic.m_newestByKey[record.m_key] = record;
        }
        answer.m_end = topic.end();
        if (append.m_writer)
            recordAnswer(topic.m_writers[append.m_writer->m_name], append.m_writer->m_sequence, answer);
        return answer;
    }

    StoreReadAnswer read(const StoreRead& read)
    {
        Topic& topic = m_topics[read.m_partition.m_topic];
        if (read.m_from < topic.m_firstOffset)
            return { .m_status = StoreStatus::Expired, .m_end = topic.end() };
        StoreReadAnswer answer { .m_status = StoreStatus::Done, .m_end = topic.end() };
        for (std::uint64_t offset = read.m_from; offset < topic.end(); ++offset)
            answer.m_records.push_back(topic.m_records[offset - topic.m_firstOffset]);
        return answer;
    }

    StoreNewestAnswer newest(const StoreNewestRead& newest)
    {
        Topic& topic = m_topics[newest.m_partition.m_topic];
        StoreNewestAnswer answer { .m_status = StoreStatus::Done, .m_records = {}, .m_hasMore = false, .m_end = topic.end() };
        auto record = newest.m_after.empty() ? topic.m_newestByKey.begin() : topic.m_newestByKey.upper_bound(newest.m_after);
        for (; record != topic.m_newestByKey.end() && answer.m_records.size() < m_pageSize; ++record)
            answer.m_records.push_back(record->second);
        answer.m_hasMore = record != topic.m_newestByKey.end();
        return answer;
    }

    std::size_t m_pageSize = 50; ///< Maximum number of records in a page of newest(); small, so that tests need few records for several pages.

    /** Simulates compaction: reads of earlier offsets fail as Expired; newest() still returns the newest record of each key. */
    void compactTopics()
    {
        for (auto& [name, topic] : m_topics) {
            topic.m_firstOffset = topic.end();
            topic.m_records.clear();
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

    struct Topic {
        std::uint64_t m_firstOffset = 0; ///< Offset of the first record that is kept.
        std::vector<KeyedRecord> m_records; ///< Records from m_firstOffset on.
        std::map<std::string, KeyedRecord> m_newestByKey; ///< Newest record of each key; a key whose newest value is empty is absent.
        std::map<std::string, Writer> m_writers; ///< By name of the writer.

        std::uint64_t end() const { return m_firstOffset + m_records.size(); }
    };

    std::map<std::string, Topic> m_topics;
};

} // namespace bulrushloft::test
