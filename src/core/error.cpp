/** @file error.cpp Construction and formatting of errors. */
#include "core/error_type.h"

#include "table/error_table.h"

#include <utility>

namespace bulrushloft {

tl::unexpected<Error> fail(ErrorKind kind, std::string message, std::string remedy)
{
    return tl::unexpected<Error>(Error { .m_kind = kind, .m_message = std::move(message), .m_remedy = std::move(remedy) });
}

std::string_view nameOf(ErrorKind kind)
{
    return findName(errorKindNames, kind);
}

std::string describe(const Error& error)
{
    std::string line(nameOf(error.m_kind));
    line += ": " + error.m_message;
    if (!error.m_remedy.empty())
        line += "; " + error.m_remedy;
    return line;
}

} // namespace bulrushloft
