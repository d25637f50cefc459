/** @file http_read.h Reads the bodies of HTTP messages in few pieces; what the client and the server share. */
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdint>

namespace bulrushloft {

/**
 * Parses what has arrived after the header, and makes room for the rest of the body. Beast reads as much as its buffer holds, which
 * is 512 bytes by default; each piece takes a turn of the event loop, and the message's time limit doesn't end it while data arrive.
 * @param buffer Holds what follows the header.
 * @param parser Has parsed the header.
 * @param error Set if the body is invalid.
 * @return Whether the message is complete or invalid, so that nothing more is to be read.
 */
template <bool isRequest>
bool takeArrivedBody(boost::beast::flat_buffer& buffer, boost::beast::http::basic_parser<isRequest>& parser, boost::beast::error_code& error)
{
    constexpr std::uint64_t maxPieceBytes = 64 * 1024; // Beast reads no more at once.
    parser.eager(true);
    if (!parser.is_done() && buffer.size() > 0)
        buffer.consume(parser.put(buffer.data(), error));
    if (error == boost::beast::http::error::need_more)
        error = {};
    if (error || parser.is_done())
        return true;
    const std::uint64_t missing = parser.content_length_remaining().value_or(maxPieceBytes);
    buffer.reserve(buffer.size() + static_cast<std::size_t>(std::min(missing, maxPieceBytes)));
    return false;
}

/** Frees the room that a large body has taken, so that idle connections hold little. */
inline void releaseRoom(boost::beast::flat_buffer& buffer)
{
    constexpr std::size_t keptBytes = 4 * 1024;
    if (buffer.capacity() > keptBytes)
        buffer.shrink_to_fit();
}

} // namespace bulrushloft
