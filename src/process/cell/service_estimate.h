/** @file service_estimate.h Estimate of when a submission could be started, from the work that waits in its pool. */
#pragma once

#include "core/clock_type.h"
#include "request/resources_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bulrushloft::cell {

/** CPU (thousandths of a core), memory (MiB) and GPUs; as numbers that may be multiplied by a time in milliseconds. */
using ResourceSums = std::array<double, 3>;

/** Remaining slack up to which a waiting step belongs to a band; steps of a lower band are placed before those of higher ones. */
constexpr std::array<Duration, 7> bandLimits { { { 250 }, { 500 }, { 1'000 }, { 2'000 }, { 4'000 }, { 8'000 }, { 16'000 } } };
constexpr std::size_t slackBandCount = bandLimits.size() + 1; ///< Bands of steps that can still meet their objective.
constexpr std::size_t lateBand = slackBandCount; ///< Band of the steps that will miss their objective and are still of use.
constexpr std::size_t bandCount = slackBandCount + 1;

/** @return Band of a step that can still meet its objective. @param slack Time until its latest start. */
std::size_t bandOf(Duration slack);

/** What waits in one band of a pool. */
struct BandLoad {
    ResourceSums m_size {}; ///< Sum of the sizes of the tasks that wait.
    ResourceSums m_work {}; ///< Sum of their sizes multiplied by the times in ms for which they will hold their resources.
    double m_quickCallMs = 0; ///< Time that quick approval requests will take for the steps that need one.
    double m_slowCallMs = 0; ///< The same for slow ones.
};

/** Load of a pool. */
struct PoolLoad {
    ResourceSums m_capacity {}; ///< Resources of the workers that can be expected to run tasks, without those that long-running tasks hold.
    ResourceSums m_free {}; ///< Resources that no task holds, of the workers that accept tasks now and have room for the smallest task that waits.
    Resources m_smallest { .m_cpuMilli = INT64_MAX, .m_memoryMb = INT64_MAX, .m_gpus = INT64_MAX }; ///< Smallest amounts of the tasks that wait, each by itself.
    std::array<BandLoad, bandCount> m_bands {};
    Duration m_oldestWait; ///< Longest time for which a task of these steps has waited.
};

/** Load of all pools that have waiting work. */
struct ServiceLoad {
    std::map<std::string, PoolLoad, std::less<>> m_pools; ///< By name; a pool without waiting work, or without a worker, is left out.
    std::map<std::string, PoolLoad, std::less<>> m_customers; ///< By name, customers with a cap and waiting work: the cap is their capacity, over all pools.
    double m_quickVms = 1; ///< VMs that may send quick approval requests; each sends one at a time.
    double m_slowVms = 1; ///< VMs that may send slow ones.
    double m_callSlowdown = 1; ///< Time that approval requests take, divided by the expected one.
};

/** A load, and when it was taken. */
struct ServiceEstimate {
    TimePoint m_madeAt; ///< Monotonic time.
    ServiceLoad m_load;
};

/** What matters of a submission for the time of its start. */
struct SubmissionNeed {
    std::string m_pool; ///< Pool of its queue.
    std::string m_customer; ///< Name of its customer; empty for none.
    std::array<bool, 3> m_uses {}; ///< Whether its first steps use CPU, memory and GPUs.
    bool m_needsApproval = false; ///< Whether its tasks need approvals.
    bool m_isSlowCall = false; ///< Whether requests for these are slow.
    Duration m_objective; ///< Time within which the job should end.
    Duration m_criticalPath; ///< Predicted run time of its longest chain of steps.
};

/** What can be expected of a submission. */
struct ServiceProspect {
    Duration m_waitInTime; ///< Estimated time until it starts, if it may still meet its objective then.
    Duration m_waitLate; ///< Estimated time until it starts if it becomes late: until all that waits has started.
    bool m_isShort = false; ///< Capacity is short: the work that is placed before it, and the late work, wait for longer than half of the submission's slack.
    bool m_isHopeless = false; ///< It can't be started before three times its objective has passed.
    bool m_isHeldByCap = false; ///< The cap of its customer alone makes it hopeless.
};

/**
 * Weighs an estimate by its age: it counts in full for 1 s, then less, and not at all from 3 s on. All errors that are known of
 * are in favour of the submission: arrivals yet to come are left out, workers that were silent for a short time count as capacity, and
 * only one and a half times the time that a useful start allows, together with a task that has waited visibly, makes a submission hopeless.
 * @param now Monotonic time.
 */
ServiceProspect assess(const ServiceEstimate& estimate, const SubmissionNeed& need, TimePoint now);

/** @return Estimated time until all work that waits in a pool, apart from overdue work, has started; for metrics. */
Duration backlogOf(const ServiceLoad& load, const PoolLoad& pool);

} // namespace bulrushloft::cell
