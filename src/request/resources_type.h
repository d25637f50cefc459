/** @file resources_type.h Amounts of what a worker offers and a task takes. */
#pragma once

#include <cstdint>

namespace bulrushloft {

/** Processors, memory and GPUs, as a size, a grant or a capacity. */
struct Resources {
    std::int64_t m_cpuMilli = 0; ///< Thousandths of a core.
    std::int64_t m_memoryMb = 0; ///< Memory in MiB.
    std::int64_t m_gpus = 0; ///< Whole GPUs.

    constexpr bool operator==(const Resources&) const = default;

    constexpr Resources operator+(const Resources& other) const
    {
        return { m_cpuMilli + other.m_cpuMilli, m_memoryMb + other.m_memoryMb, m_gpus + other.m_gpus };
    }

    constexpr Resources operator-(const Resources& other) const
    {
        return { m_cpuMilli - other.m_cpuMilli, m_memoryMb - other.m_memoryMb, m_gpus - other.m_gpus };
    }

    constexpr Resources operator*(std::int64_t factor) const
    {
        return { m_cpuMilli * factor, m_memoryMb * factor, m_gpus * factor };
    }
};

/** @return Whether a task of this size fits into the free amounts, in every dimension. */
constexpr bool fitsInto(const Resources& size, const Resources& free)
{
    return size.m_cpuMilli <= free.m_cpuMilli && size.m_memoryMb <= free.m_memoryMb && size.m_gpus <= free.m_gpus;
}

/** @return Whether no amount is below zero. */
constexpr bool isNonNegative(const Resources& amounts)
{
    return amounts.m_cpuMilli >= 0 && amounts.m_memoryMb >= 0 && amounts.m_gpus >= 0;
}

} // namespace bulrushloft
