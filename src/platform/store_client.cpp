/** @file store_client.cpp HTTP client of the metadata store. */
#include "platform/store_client.h"

#include "platform/json_read.h"

#include <boost/beast/core/detail/base64.hpp>

namespace bulrushloft::platform {

namespace base64 = boost::beast::detail::base64;

namespace {

    constexpr std::size_t recordLengthBytes = 4; ///< Size of the length field before each record.
    constexpr std::size_t offsetBytes = 8; ///< Size of each of the two offsets that begin the answer to a read.

    std::uint64_t readBigEndian(std::string_view bytes)
    {
        std::uint64_t value = 0;
        for (const char byte : bytes)
            value = value << 8 | static_cast<unsigned char>(byte);
        return value;
    }

    void appendBigEndian(std::string& out, std::uint32_t value)
    {
        for (int shift = 24; shift >= 0; shift -= 8)
            out.push_back(static_cast<char>(value >> shift & 0xff));
    }

    std::string partitionQuery(const StorePartition& partition)
    {
        return "?topic=" + partition.m_topic + "&part=" + std::to_string(partition.m_partition);
    }

    std::string escapeQuery(std::string_view text)
    {
        static constexpr std::string_view digits = "0123456789ABCDEF";
        std::string escaped;
        for (const char c : text) {
            if (isalnum(static_cast<unsigned char>(c))) {
                escaped += c;
                continue;
            }
            escaped += '%';
            escaped += digits[static_cast<unsigned char>(c) >> 4];
            escaped += digits[static_cast<unsigned char>(c) & 0xf];
        }
        return escaped;
    }

    std::string decodeBase64(const std::string& text)
    {
        std::string bytes(base64::decoded_size(text.size() + 3), '\0'); // That size is rounded down to whole groups of four; the last group may be incomplete.
        bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
        return bytes;
    }

    /** @return Unknown if the store may have received the request, else NotDone. */
    StoreStatus statusOfFailedCall(const HttpFailure& failure)
    {
        return failure.m_progress == CallProgress::MaybeDelivered ? StoreStatus::Unknown : StoreStatus::NotDone;
    }

    /** @return NotDone if the HTTP status says that the store refused the request, else Unknown. */
    StoreStatus statusOfHttpError(unsigned status)
    {
        constexpr unsigned tooManyRequests = 429;
        constexpr unsigned serviceUnavailable = 503;
        constexpr unsigned insufficientStorage = 507;
        const bool isRefusal = status == tooManyRequests || status == serviceUnavailable || status == insufficientStorage || (status >= 400 && status < 500);
        return isRefusal ? StoreStatus::NotDone : StoreStatus::Unknown;
    }

    StoreAppendAnswer decodeStoreAppendAnswer(const HttpResult& result)
    {
        if (!result)
            return { .m_status = statusOfFailedCall(result.error()), .m_reason = result.error().m_reason };
        const nlohmann::json body = parseJson(viewOf(result->m_body));
        StoreAppendAnswer answer { .m_status = StoreStatus::Unknown, .m_offset = static_cast<std::uint64_t>(readInt(body, "offset")), .m_end = static_cast<std::uint64_t>(readInt(body, "end")), .m_reason = "HTTP status " + std::to_string(result->m_status) };
        switch (result->m_status) {
        case 200:
            answer.m_status = StoreStatus::Done;
            break;
        case 409:
            answer.m_status = readString(body, "reason") == "fenced" ? StoreStatus::Fenced : StoreStatus::OutOfSequence;
            break;
        case 412:
            answer.m_status = StoreStatus::EndMismatch;
            break;
        default:
            answer.m_status = statusOfHttpError(result->m_status);
        }
        return answer;
    }

} // namespace

std::string encodeRecords(const std::vector<KeyedRecord>& records)
{
    std::string body;
    for (const KeyedRecord& record : records) {
        appendBigEndian(body, static_cast<std::uint32_t>(1 + record.m_key.size() + record.m_value.size()));
        body.push_back(static_cast<char>(record.m_key.size()));
        body += record.m_key;
        body += record.m_value;
    }
    return body;
}

StoreReadAnswer decodeStoreReadAnswer(std::string_view body, std::uint64_t from)
{
    if (body.size() < 2 * offsetBytes)
        return { .m_status = StoreStatus::Unknown, .m_reason = "the answer is truncated: it is shorter than its two offsets" };
    StoreReadAnswer answer { .m_status = StoreStatus::Done, .m_end = readBigEndian(body.substr(0, offsetBytes)) };
    body.remove_prefix(2 * offsetBytes);
    while (body.size() >= recordLengthBytes) {
        const std::size_t length = readBigEndian(body.substr(0, recordLengthBytes));
        if (body.size() - recordLengthBytes < length)
            break;
        const std::string_view content = body.substr(recordLengthBytes, length);
        body.remove_prefix(recordLengthBytes + length);
        const std::size_t keyLength = content.empty() ? 0 : static_cast<unsigned char>(content[0]);
        KeyedRecord record { .m_key = {}, .m_value = {}, .m_offset = from++ };
        if (!content.empty() && keyLength + 1 <= content.size()) {
            record.m_key = content.substr(1, keyLength);
            record.m_value = content.substr(1 + keyLength);
        }
        answer.m_records.push_back(std::move(record));
    }
    return answer;
}

StoreNewestAnswer decodeStoreNewestAnswer(std::string_view body)
{
    const nlohmann::json root = parseJson(body);
    const auto items = root.is_object() ? root.find("items") : root.end();
    if (!root.is_object() || items == root.end() || !items->is_array())
        return { .m_status = StoreStatus::Unknown, .m_reason = "the answer is not a JSON object with a list of items" };
    StoreNewestAnswer answer { .m_status = StoreStatus::Done, .m_records = {}, .m_hasMore = readBool(root, "has_more"), .m_end = static_cast<std::uint64_t>(readInt(root, "end")) };
    for (const nlohmann::json& item : *items)
        answer.m_records.push_back({ .m_key = readString(item, "key"), .m_value = decodeBase64(readString(item, "value")), .m_offset = static_cast<std::uint64_t>(readInt(item, "offset")) });
    return answer;
}

StoreClient::StoreClient(EventLoop& loop, const Address& address, std::size_t unfinishedBytes)
    : m_address(address)
    , m_client(loop, { .m_connectionsPerAddress = 32, .m_connectTimeout = { 500 }, .m_closesIdleOnTimeout = true, .m_unfinishedBytes = unfinishedBytes })
{
}

void StoreClient::send(std::string method, std::string target, std::string body, Duration timeout, std::function<void(HttpResult)> onResult)
{
    ++m_calls;
    HttpCall call { .m_address = m_address, .m_request = { .m_method = std::move(method), .m_target = std::move(target), .m_headers = {}, .m_body = makeBody(std::move(body)) }, .m_timeout = timeout };
    m_client.send(std::move(call), std::move(onResult));
}

void StoreClient::append(const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer)
{
    std::string target = "/bulrushloft/log-append" + partitionQuery(append.m_partition);
    if (append.m_writer) {
        target += "&producer=" + append.m_writer->m_name + "&epoch=" + std::to_string(append.m_writer->m_epoch);
        target += "&sequence=" + std::to_string(append.m_writer->m_sequence);
    }
    if (append.m_expectedEnd)
        target += "&as_of=" + std::to_string(*append.m_expectedEnd);
    send("POST", std::move(target), encodeRecords(append.m_records), timeout, [onAnswer = std::move(onAnswer)](const HttpResult& result) { onAnswer(decodeStoreAppendAnswer(result)); });
}

void StoreClient::read(const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer)
{
    std::string target = "/bulrushloft/log-read" + partitionQuery(read.m_partition) + "&from=" + std::to_string(read.m_from) + "&max_kb=" + std::to_string(read.m_maxKb);
    if (read.m_wait.m_ms > 0)
        target += "&wait_ms=" + std::to_string(read.m_wait.m_ms);
    send("GET", std::move(target), {}, timeout, [from = read.m_from, onAnswer = std::move(onAnswer)](const HttpResult& result) {
        constexpr unsigned statusOk = 200;
        constexpr unsigned statusGone = 410;
        if (!result)
            return onAnswer({ .m_status = statusOfFailedCall(result.error()), .m_reason = result.error().m_reason });
        if (result->m_status == statusOk)
            return onAnswer(decodeStoreReadAnswer(viewOf(result->m_body), from));
        onAnswer({ .m_status = result->m_status == statusGone ? StoreStatus::Expired : statusOfHttpError(result->m_status), .m_reason = "HTTP status " + std::to_string(result->m_status) });
    });
}

void StoreClient::readNewest(const StoreNewestRead& read, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer)
{
    std::string target = "/bulrushloft/log-newest" + partitionQuery(read.m_partition);
    if (!read.m_after.empty())
        target += "&after=" + escapeQuery(read.m_after);
    send("GET", std::move(target), {}, timeout, [onAnswer = std::move(onAnswer)](const HttpResult& result) {
        constexpr unsigned statusOk = 200;
        if (!result)
            return onAnswer({ .m_status = statusOfFailedCall(result.error()), .m_reason = result.error().m_reason });
        if (result->m_status == statusOk)
            return onAnswer(decodeStoreNewestAnswer(viewOf(result->m_body)));
        onAnswer({ .m_status = statusOfHttpError(result->m_status), .m_reason = "HTTP status " + std::to_string(result->m_status) });
    });
}

} // namespace bulrushloft::platform
