/** @file customer_cap.cpp Arithmetic of customers' caps, by dimension. */
#include "version/customer_cap.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace bulrushloft {

namespace {

    constexpr std::array dimensions { &Resources::m_cpuMilli, &Resources::m_memoryMb, &Resources::m_gpus };

} // namespace

bool isWithinCap(const Resources& used, const Resources& cap)
{
    return std::all_of(dimensions.begin(), dimensions.end(), [&](auto dimension) { return cap.*dimension == 0 || used.*dimension <= cap.*dimension; });
}

std::int64_t countWithinCap(const Resources& size, const Resources& used, const Resources& cap, std::int64_t limit)
{
    for (const auto dimension : dimensions) {
        // A dimension that the tasks don't need does not hold them back, also when a reduced cap is exceeded in it.
        if (cap.*dimension > 0 && size.*dimension > 0)
            limit = std::min(limit, std::max<std::int64_t>(0, cap.*dimension - used.*dimension) / size.*dimension);
    }
    return limit;
}

bool canRunAlone(const Resources& size, std::uint32_t count, const Resources& cap, double overrun)
{
    return std::all_of(dimensions.begin(), dimensions.end(), [&](auto dimension) {
        const auto allButOne = static_cast<double>(size.*dimension) * (static_cast<double>(count) - 1);
        return cap.*dimension == 0 || allButOne <= std::floor(static_cast<double>(cap.*dimension) * (1 + overrun));
    });
}

Expected<void> canEverRun(const CustomerSettings& settings, double overrun, const JobPlan& plan)
{
    for (std::size_t i = 0; i < plan.m_steps.size(); ++i) {
        const StepPlan& step = plan.m_steps[i];
        if (!step.m_isGang || canRunAlone(step.m_size, step.m_count, settings.m_cap, overrun))
            continue;
        const auto describe = [](const Resources& amounts) { return "cpu " + std::to_string(amounts.m_cpuMilli) + ", mem_mb " + std::to_string(amounts.m_memoryMb) + ", gpu " + std::to_string(amounts.m_gpus); };
        return fail(ErrorKind::InvalidInput, "the gang of step " + std::to_string(i) + " needs " + describe(step.m_size * step.m_count) + ", more than the customer's cap of " + describe(settings.m_cap) + " ever allows", "use a smaller gang, or have the cap raised");
    }
    return {};
}

} // namespace bulrushloft
