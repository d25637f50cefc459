/** @file resources_type.h Amounts of CPU, memory and GPUs. */
#pragma once

#include <cstdint>

namespace bulrushloft {

/** CPU, memory and GPUs: the size of a task, a grant or the capacity of a worker. */
struct Resources {
    std::int64_t m_cpuMilli = 0; ///< CPU in thousandths of a core.
    std::int64_t m_memoryMb = 0; ///< Memory in MiB.
    std::int64_t m_gpus = 0; ///< Number of GPUs.

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

/** @return Whether a task of this size fits into the free resources, in every dimension. */
constexpr bool fitsInto(const Resources& size, const Resources& free)
{
    return size.m_cpuMilli <= free.m_cpuMilli && size.m_memoryMb <= free.m_memoryMb && size.m_gpus <= free.m_gpus;
}

/** @return Whether no amount is negative. */
constexpr bool isNonNegative(const Resources& amounts)
{
    return amounts.m_cpuMilli >= 0 && amounts.m_memoryMb >= 0 && amounts.m_gpus >= 0;
}

} // namespace bulrushloft
