/** @file strong_id.h Ids of different subjects that do not convert into each other. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace bulrushloft {

/**
 * A number that names one thing of a subject.
 * @tparam Tag A type that tells the subjects apart.
 * @tparam Base The integer that holds the number.
 */
template <typename Tag, typename Base = std::uint64_t>
struct StrongId {
    Base m_value = 0; ///< The number itself.

    constexpr auto operator<=>(const StrongId&) const = default;
};

} // namespace bulrushloft

template <typename Tag, typename Base>
struct std::hash<bulrushloft::StrongId<Tag, Base>> {
    std::size_t operator()(const bulrushloft::StrongId<Tag, Base>& id) const noexcept
    {
        return std::hash<Base> {}(id.m_value);
    }
};
