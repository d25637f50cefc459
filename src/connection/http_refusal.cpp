/** @file http_refusal.cpp Status, text and log lines of refusals. */
#include "connection/http_refusal.h"

#include "core/log_func.h"

#include <utility>

namespace bulrushloft {

namespace {

    /** What a refused client sees, and the cause's name. */
    struct RefusalRow {
        HttpRefusal m_cause;
        unsigned m_status;
        std::string_view m_name;
        std::string_view m_text;
    };

    constexpr std::array<RefusalRow, static_cast<std::size_t>(HttpRefusal::Count)> refusalRows { {
        { HttpRefusal::Malformed, 400, "malformed", "the request is malformed; send a valid HTTP/1.1 request" },
        { HttpRefusal::TargetTooLong, 414, "target-too-long", "the first line of the request is too long; send a shorter path and query" },
        { HttpRefusal::HeadTooLarge, 431, "head-too-large", "the head of the request is too large; send fewer or shorter fields" },
        { HttpRefusal::TooManyEmptyLines, 400, "empty-lines", "too many empty lines come before the request; send none" },
        { HttpRefusal::ChunkLineTooLong, 400, "chunk-line-too-long", "the line before a chunk is too long; send shorter extensions" },
        { HttpRefusal::TrailerTooLarge, 431, "trailer-too-large", "the fields after the last chunk are too large; send fewer or shorter ones" },
        { HttpRefusal::BodyTooLarge, 413, "body-too-large", "the body is too large; send a smaller one" },
        { HttpRefusal::HeadTimeout, 408, "head-timeout", "the head of the request took too long; send it at once" },
        { HttpRefusal::BodyTimeout, 408, "body-timeout", "the body of the request took too long; send it at once" },
        { HttpRefusal::NoMemory, 503, "no-memory", "too many bytes of unfinished requests are held; send the request again later" },
        { HttpRefusal::NoConnection, 503, "no-connection", "too many connections are open; send the request again later" },
    } };

    std::string_view phraseOf(unsigned status)
    {
        switch (status) {
        case 400:
            return "Bad Request";
        case 408:
            return "Request Timeout";
        case 413:
            return "Payload Too Large";
        case 414:
            return "URI Too Long";
        case 431:
            return "Request Header Fields Too Large";
        default:
            return "Service Unavailable";
        }
    }

    const RefusalRow& rowOf(HttpRefusal cause)
    {
        return refusalRows[static_cast<std::size_t>(cause)];
    }

} // namespace

std::string_view nameOf(HttpRefusal cause)
{
    return rowOf(cause).m_name;
}

unsigned statusOf(HttpRefusal cause)
{
    return rowOf(cause).m_status;
}

std::string makeRefusalResponse(HttpRefusal cause, const HttpLimits& limits, std::string_view reason)
{
    std::string text(rowOf(cause).m_text);
    if (cause == HttpRefusal::Malformed && !reason.empty())
        text = "the request is malformed (" + std::string(reason) + "); send a valid HTTP/1.1 request";
    if (cause == HttpRefusal::BodyTooLarge)
        text = "the body is larger than " + std::to_string(limits.m_message.m_bodyBytes) + " bytes; send a smaller one";
    const std::string body = "{\"error\":{\"kind\":\"invalid-input\",\"message\":\"" + text + "\"}}\n";
    const unsigned status = statusOf(cause);
    constexpr unsigned unavailable = 503;
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(phraseOf(status)) + "\r\nContent-Type: application/json\r\nConnection: close\r\n" + (status == unavailable ? "Retry-After: 1\r\n" : "")
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void HttpRefusalLog::note(HttpRefusal cause, std::string_view peer, std::string_view firstWord)
{
    constexpr Duration period { 1'000 };
    constexpr int linesPerPeriod = 5;
    ++m_counts[static_cast<std::size_t>(cause)];
    const TimePoint now = steadyNow();
    if (now - m_periodStart >= period) {
        m_periodStart = now;
        m_logged = 0;
    }
    if (m_logged >= linesPerPeriod) {
        ++m_unlogged;
        return;
    }
    ++m_logged;
    logEvent(LogLevel::Warning, "http-refused", { { "listener", m_listener }, { "cause", nameOf(cause) }, { "peer", peer }, { "first_word", firstWord }, { "unlogged", std::exchange(m_unlogged, 0) } });
}

HttpRefusalCounts HttpRefusalLog::counts() const
{
    HttpRefusalCounts counts {};
    for (std::size_t i = 0; i < counts.size(); ++i)
        counts[i] = m_counts[i];
    return counts;
}

} // namespace bulrushloft
