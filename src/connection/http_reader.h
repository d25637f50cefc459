/** @file http_reader.h Reads HTTP messages from pieces of bytes within limits, without sockets. Include it only in source files, because it includes Beast. */
#pragma once

#include "connection/http_limits.h"
#include "connection/http_type.h"

#include <algorithm>
#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bulrushloft {

/** State of a message that is being read. */
enum class HttpReadState : std::uint8_t {
    NeedsMore,
    Complete,
    Refused,
};

/**
 * Reads one message after another. Beast's parser limits neither the bytes of a trailer and of a chunk's line nor those of a head
 * that arrives in several pieces as a whole, so what it takes and leaves is counted here.
 */
template <bool isRequest>
class HttpReader {
public:
    using Message = boost::beast::http::message<isRequest, boost::beast::http::string_body>;

    /** Begins the next message; bytes that have already arrived are kept. */
    void begin(const HttpMessageLimits& limits)
    {
        m_limits = limits;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(limits.m_headBytes));
        m_parser->body_limit(limits.m_bodyBytes);
        m_headBytes = 0;
        m_emptyLines = 0;
        m_pieceBytes = smallestPiece;
    }

    /** @return Room for the next piece, valid until the next call of another function. */
    boost::asio::mutable_buffer prepare()
    {
        const std::uint64_t missing = m_parser->is_header_done() ? m_parser->content_length_remaining().value_or(m_pieceBytes) : m_pieceBytes;
        m_preparedBytes = std::clamp<std::size_t>(missing, 1, m_pieceBytes);
        return m_buffer.prepare(m_preparedBytes);
    }

    /** Reads a piece that was written to the prepared room. */
    HttpReadState take(std::size_t count)
    {
        m_buffer.commit(count);
        if (count == m_preparedBytes) // Large messages take few turns of the event loop; slow ones take little memory.
            m_pieceBytes = std::min(m_pieceBytes * pieceGrowth, largestPiece);
        return advance();
    }

    /** Reads what has already arrived. */
    HttpReadState advance()
    {
        if (isRequest && !m_parser->got_some()) {
            if (!skipEmptyLines())
                return refuse(HttpRefusal::TooManyEmptyLines);
            if (arrived() == "\r")
                return HttpReadState::NeedsMore;
        }
        while (m_buffer.size() > 0 && !m_parser->is_done()) {
            const bool wasInHead = !m_parser->is_header_done();
            const std::size_t bodyBytes = m_parser->get().body().size();
            boost::beast::error_code error;
            const std::size_t used = m_parser->put(m_buffer.data(), error);
            if (wasInHead ? !isHeadWithin(used) : !isFramingWithin(used, bodyBytes))
                return HttpReadState::Refused;
            m_buffer.consume(used);
            if (error == boost::beast::http::error::need_more)
                return isRestWithin() ? HttpReadState::NeedsMore : HttpReadState::Refused;
            if (error)
                return refuse(refusalOf(error));
        }
        return m_parser->is_done() ? HttpReadState::Complete : HttpReadState::NeedsMore;
    }

    /** Notes the end of the connection, which ends a response without a length. */
    HttpReadState end()
    {
        boost::beast::error_code error = boost::beast::http::error::end_of_stream;
        if (m_parser->got_some())
            m_parser->put_eof(error);
        return error ? refuse(HttpRefusal::Malformed) : HttpReadState::Complete;
    }

    /** @return The complete message. */
    Message release() { return m_parser->release(); }

    /** Frees the room that a large message has taken, so that idle connections hold little. */
    void releaseRoom()
    {
        constexpr std::size_t keptBytes = 4 * 1024;
        if (m_buffer.capacity() > keptBytes)
            m_buffer.shrink_to_fit();
    }

    /** Frees all that has arrived. */
    void drop()
    {
        m_parser.emplace();
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_headBytes = 0;
    }

    /** @return Whether bytes other than empty lines have arrived. */
    bool hasStarted() const { return m_headBytes > 0 || m_buffer.size() > 0 || m_parser->got_some(); }
    bool hasHead() const { return m_parser->is_header_done(); }
    bool hasBytesLeft() const { return m_buffer.size() > 0; }

    /** @return Bytes of memory that the unfinished message takes. A body in chunks has room to grow; an announced one takes what has arrived. */
    std::size_t heldBytes() const
    {
        const std::string& body = m_parser->get().body();
        constexpr std::size_t bytesPerHeadByte = 4; // Fields take several times their text.
        return m_buffer.capacity() + m_headBytes * bytesPerHeadByte + (m_parser->chunked() ? body.capacity() : body.size());
    }

    /** @return Why the message was refused. */
    HttpRefusal refusal() const { return m_refusal; }

    /** @return Error text of a malformed message. */
    const std::string& reason() const { return m_reason; }

    /** @return For the log, the letters with which a request begins that was refused in its first line, at most 16. Fields are left out, as they may hold a key. */
    std::string firstWord() const
    {
        constexpr std::size_t longest = 16;
        std::string word;
        for (const char byte : m_headBytes == 0 ? arrived().substr(0, longest) : std::string_view()) {
            if ((byte < 'A' || byte > 'Z') && (byte < 'a' || byte > 'z'))
                break;
            word += byte;
        }
        return word;
    }

private:
    static constexpr std::size_t smallestPiece = 4 * 1024;
    static constexpr std::size_t largestPiece = 64 * 1024;
    static constexpr std::size_t pieceGrowth = 4;

    HttpReadState refuse(HttpRefusal refusal)
    {
        m_refusal = refusal;
        return HttpReadState::Refused;
    }

    bool isWithin(bool isAllowed, HttpRefusal refusal)
    {
        if (!isAllowed)
            m_refusal = refusal;
        return isAllowed;
    }

    std::string_view arrived() const
    {
        return { static_cast<const char*>(m_buffer.data().data()), m_buffer.size() };
    }

    /** @return Whether there are no more empty lines than allowed. */
    bool skipEmptyLines()
    {
        while (arrived().starts_with("\r\n")) {
            m_buffer.consume(2);
            if (++m_emptyLines > m_limits.m_emptyLines)
                return false;
        }
        return true;
    }

    /** @param used Bytes that the parser has just taken. */
    bool isHeadWithin(std::size_t used)
    {
        m_headBytes += used;
        const std::size_t rest = m_parser->is_header_done() ? 0 : m_buffer.size() - used;
        if (m_headBytes + rest > m_limits.m_headBytes) {
            m_refusal = headRefusal();
            return false;
        }
        if (!m_parser->is_header_done())
            return true;
        const auto& fields = m_parser->get();
        return isWithin(static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) <= m_limits.m_fields, HttpRefusal::HeadTooLarge);
    }

    /** Checks the lines between chunks that the parser has just taken. */
    bool isFramingWithin(std::size_t used, std::size_t bodyBytes)
    {
        if (!m_parser->chunked() || m_parser->get().body().size() > bodyBytes)
            return true;
        if (!m_parser->is_done())
            return isWithin(used <= m_limits.m_chunkLineBytes, HttpRefusal::ChunkLineTooLong);
        return isLastChunkWithin(arrived().substr(0, used));
    }

    /** Checks what the parser has left in the buffer as incomplete. */
    bool isRestWithin()
    {
        if (m_parser->is_header_done() && m_parser->chunked())
            return isLastChunkWithin(arrived());
        return true;
    }

    /** Checks the line of a chunk, which need not be complete, and the trailer after it. */
    bool isLastChunkWithin(std::string_view text)
    {
        if (text.starts_with("\r\n"))
            text.remove_prefix(2);
        const std::size_t line = std::min(text.find('\n'), text.size());
        return isWithin(line <= m_limits.m_chunkLineBytes, HttpRefusal::ChunkLineTooLong) && isWithin(text.size() - line <= m_limits.m_trailerBytes, HttpRefusal::TrailerTooLarge);
    }

    HttpRefusal refusalOf(boost::beast::error_code error)
    {
        namespace http = boost::beast::http;
        m_reason = error.message();
        if (error == http::error::body_limit)
            return HttpRefusal::BodyTooLarge;
        return error == http::error::header_limit ? headRefusal() : HttpRefusal::Malformed;
    }

    /** @return Which part of a head that is too large has passed the limit. */
    HttpRefusal headRefusal() const
    {
        const bool isFirstLine = isRequest && m_headBytes == 0 && arrived().substr(0, m_limits.m_headBytes).find('\n') == std::string_view::npos;
        return isFirstLine ? HttpRefusal::TargetTooLong : HttpRefusal::HeadTooLarge;
    }

    HttpMessageLimits m_limits;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::parser<isRequest, boost::beast::http::string_body>> m_parser { std::in_place };
    std::size_t m_headBytes = 0; ///< Bytes of the head that the parser has taken.
    std::size_t m_emptyLines = 0; ///< Empty lines before the message.
    std::size_t m_pieceBytes = smallestPiece; ///< Room for the next piece.
    std::size_t m_preparedBytes = 0; ///< Room that was last prepared.
    HttpRefusal m_refusal = HttpRefusal::Malformed;
    std::string m_reason;
};

} // namespace bulrushloft
