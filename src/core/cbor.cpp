/** @file cbor.cpp CBOR decoder with limited nesting. */
#include "core/cbor.h"

#include <stdexcept>

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    /** Builds the document, and ends the decoding at too deep a level. */
    class NestingLimiter : public nlohmann::detail::json_sax_dom_parser<Json> {
    public:
        using Base = nlohmann::detail::json_sax_dom_parser<Json>;

        explicit NestingLimiter(Json& document)
            : Base(document, false)
        {
        }

        bool start_array(std::size_t size) { return ++m_depth <= maxDepth && Base::start_array(size); } // NOLINT(readability-identifier-naming): named by the library.
        bool start_object(std::size_t size) { return ++m_depth <= maxDepth && Base::start_object(size); } // NOLINT(readability-identifier-naming)

        bool end_array() // NOLINT(readability-identifier-naming)
        {
            --m_depth;
            return Base::end_array();
        }

        bool end_object() // NOLINT(readability-identifier-naming)
        {
            --m_depth;
            return Base::end_object();
        }

    private:
        static constexpr std::size_t maxDepth = 32; ///< Our messages and records have fewer than ten levels.

        std::size_t m_depth = 0;
    };

} // namespace

Json decodeCbor(std::string_view bytes)
{
    Json document;
    NestingLimiter limiter(document);
    if (!Json::sax_parse(bytes, &limiter, Json::input_format_t::cbor))
        throw std::runtime_error("malformed or too deeply nested CBOR");
    return document;
}

} // namespace bulrushloft
