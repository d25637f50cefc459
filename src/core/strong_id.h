/** @file strong_id.h Typed ids: ids of different kinds of object do not convert into each other. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace bulrushloft {

/**
 * A numeric id of one kind of object.
 * @tparam Tag Type that distinguishes this kind of id from others.
 * @tparam Base Integer type of the id.
 */
template <typename Tag, typename Base = std::uint64_t>
struct StrongId {
    Base m_value = 0;

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
