/** @file http_limits.h Limits of what is read from a connection; docs/LIMITS.md describes them. */
#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bulrushloft {

/** Limits of one message. */
struct HttpMessageLimits {
    std::size_t m_headBytes = 20'480; ///< First line, fields and the empty line after them; sound clients send at most 16,384.
    std::size_t m_fields = 4'096; ///< Number of fields of a head; more don't fit into 16,384 bytes.
    std::size_t m_emptyLines = 8; ///< Empty lines before a request.
    std::size_t m_chunkLineBytes = 4'096; ///< Line before the data of a chunk, with its extensions.
    std::size_t m_trailerBytes = 16'384; ///< Fields after the last chunk.
    std::size_t m_bodyBytes = 8 * 1024 * 1024; ///< Body, announced or sent in chunks.
};

/** Limits of a server. */
struct HttpLimits {
    HttpMessageLimits m_message; ///< Limits of each request.
    Duration m_headTime { 10'000 }; ///< From the first byte of a request to the end of its head.
    Duration m_bodyTime { 30'000 }; ///< From the head to the end of the body; also for writing a response.
    Duration m_idleTime { 120'000 }; ///< From a response to the first byte of the next request.
    std::size_t m_connections = 2'048; ///< Open connections.
    bool m_closesOldest = false; ///< Whether the oldest idle connection is closed for a new one beyond that number; otherwise the new one is closed.
    std::size_t m_connectionsPerAddress = 0; ///< Open connections from one address; 0 for no limit, as a load balancer may stand before the server.
    std::size_t m_unfinishedBytes = 0; ///< Bytes of all requests that have no response yet; 0 for no limit.
};

/** Why a request is refused, or an answer not accepted. Nothing has run then. */
enum class HttpRefusal : std::uint8_t {
    Malformed, ///< Not valid HTTP.
    TargetTooLong, ///< The first line alone exceeds the limit of a head.
    HeadTooLarge, ///< More bytes or fields than a head may have.
    TooManyEmptyLines, ///< Before a request.
    ChunkLineTooLong, ///< The line before a chunk's data.
    TrailerTooLarge, ///< Fields after the last chunk.
    BodyTooLarge, ///< Announced or sent.
    HeadTimeout, ///< The head took too long.
    BodyTimeout, ///< The body took too long.
    NoMemory, ///< All unfinished requests together exceed their limit, and this one takes most.
    NoConnection, ///< The connection was closed for another one.
    Count,
};

/** Number of refusals by cause. */
using HttpRefusalCounts = std::array<std::uint64_t, static_cast<std::size_t>(HttpRefusal::Count)>;

} // namespace bulrushloft
