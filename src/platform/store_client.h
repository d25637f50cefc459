/** @file store_client.h Client of the platform's metadata store. */
#pragma once

#include "connection/http_client.h"
#include "connection/store_type.h"

#include <atomic>

namespace bulrushloft::platform {

/** Sends requests to the store. Each callback runs exactly once, on the loop's thread. */
class StoreClient {
public:
    /** @param unfinishedBytes Memory of all responses that are being read; 0 for no limit. */
    StoreClient(EventLoop& loop, const Address& address, std::size_t unfinishedBytes = 0);

    void append(const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer);
    void read(const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer);
    void readNewest(const StoreNewestRead& read, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer);

    /** @return Number of requests sent since the process started. */
    std::uint64_t countCalls() const { return m_calls; }

private:
    void send(std::string method, std::string target, std::string body, Duration timeout, std::function<void(HttpResult)> onResult);

    Address m_address;
    HttpClient m_client;
    std::atomic<std::uint64_t> m_calls { 0 };
};

/** Encodes records for a keyed topic: for each, a four-byte big-endian length of what follows, a one-byte key length, the key and the value. */
std::string encodeRecords(const std::vector<KeyedRecord>& records);

/**
 * Decodes the body of the answer to a read; an incomplete last record is ignored.
 * @param body Two eight-byte big-endian offsets, then the records. The first offset is the end of the partition; the second is ignored.
 * @param from Offset of the first record.
 * @return The records; the status is Unknown if the offsets are incomplete.
 */
StoreReadAnswer decodeStoreReadAnswer(std::string_view body, std::uint64_t from);

/** Decodes a page of newest records; the status is Unknown if the body is malformed. */
StoreNewestAnswer decodeStoreNewestAnswer(std::string_view body);

} // namespace bulrushloft::platform
