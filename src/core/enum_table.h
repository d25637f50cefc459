/** @file enum_table.h Tables that map the values of an enum to their names. */
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushloft {

/** One row of a name table. */
template <typename Enum>
struct EnumName {
    Enum m_value;
    std::string_view m_name; ///< Name of the value in settings, messages and metrics.
};

/**
 * Looks up the name of a value.
 * @param table The table of the enum, with one row for each value.
 * @param value The value to look up.
 * @return The name, or "?" if the table has no row for the value.
 */
template <typename Enum, std::size_t Size>
constexpr std::string_view findName(const std::array<EnumName<Enum>, Size>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.m_value == value)
            return row.m_name;
    }
    return "?";
}

/**
 * Looks up the value with a name.
 * @param table The table of the enum.
 * @param name The name to look up, matched exactly.
 * @return The value, or std::nullopt if no row has that name.
 */
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> findValue(const std::array<EnumName<Enum>, Size>& table, std::string_view name)
{
    for (const auto& row : table) {
        if (row.m_name == name)
            return row.m_value;
    }
    return std::nullopt;
}

/**
 * Lists all names of a table for an error message.
 * @return The names, separated by a comma and a space.
 */
template <typename Enum, std::size_t Size>
std::string listNames(const std::array<EnumName<Enum>, Size>& table)
{
    std::string names;
    for (const auto& row : table) {
        if (!names.empty())
            names += ", ";
        names += row.m_name;
    }
    return names;
}

} // namespace bulrushloft
