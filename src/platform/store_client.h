/** @file store_client.h The client of the platform's metadata store. */
#pragma once

#include "connection/http_client.h"
#include "connection/store_type.h"

#include <atomic>

namespace bulrushloft::platform {

/** Sends calls to the store; results come on the loop's thread. */
class StoreClient {
public:
    StoreClient(EventLoop& loop, const Address& address);

    void append(const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer);
    void read(const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer);
    void newest(const StoreNewestRead& newest, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer);

    /** @return Calls sent so far. */
    std::uint64_t countCalls() const { return m_calls; }

private:
    void send(std::string method, std::string target, std::string body, Duration timeout, std::function<void(HttpResult)> onResult);

    Address m_address;
    HttpClient m_client;
    std::atomic<std::uint64_t> m_calls { 0 };
};

/** Writes records in the form of the topics that keep the newest record of each key. */
std::string encodeRecords(const std::vector<KeyedRecord>& records);

/** Reads the body of a read; the status is Unknown when it can't be read. */
StoreReadAnswer decodeRead(std::string_view body, std::uint64_t from);

/** Reads a page of newest records; the status is Unknown when it can't be read. */
StoreNewestAnswer decodeNewest(std::string_view body);

} // namespace bulrushloft::platform
