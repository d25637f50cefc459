/** @file customer_usage.h What each customer has running, and its cap: the ledger that placements are checked against. */
#pragma once

#include "core/clock_type.h"
#include "request/plan_type.h"

#include <map>
#include <string>
#include <vector>

namespace bulrushloft {
struct ClusterSettings;
}

namespace bulrushloft::scheduler {

struct Job;
struct Scheduler;
struct StepRun;
struct TaskRef;

/** What a customer has running in one pool. */
struct PoolUsage {
    Resources m_running; ///< Sum of the full sizes of its attempts.
    double m_average = 1; ///< Dominant share of the pool in use, 0 to 1, averaged.
    double m_approvals = 0; ///< Sum of the expected durations of its approval requests in ms, which decays over shareAveraging.
    TimePoint m_averagedAt; ///< Time of the averages; zero before the first.
    double m_share = 1; ///< Fair share of the pool, 0 to 1; the whole until it is first computed.
    bool m_isActive = false; ///< It has waiting steps, as far as the present pass has found them.
};

/** What the shares of a pool refer to. */
struct PoolShares {
    Resources m_capacity; ///< Capacity of its workers that accept tasks.
    double m_approvals = 0; ///< Sum of PoolUsage::m_approvals.
    TimePoint m_shortUntil; ///< Until then room or approvals count as short.
};

/** A customer with accepted jobs or in the configuration. Entries are never removed, so that pointers to them stay valid. */
struct CustomerUsage {
    std::string m_name; ///< Name of the customer.
    Resources m_cap; ///< Latest known cap; an amount of 0 means no limit.
    double m_weight = 0; ///< Latest known weight.
    bool m_isConfigured = false; ///< A configuration of this term has named it.
    Resources m_running; ///< Sum of the full sizes of all attempts that may be running.
    std::uint32_t m_attempts = 0; ///< Number of those attempts.
    std::uint64_t m_releases = 1; ///< Counts the events after which there may be more room under the cap.
    Resources m_requested; ///< Sizes of the tasks for which approvals are requested, as of the present placement pass.
    const StepRun* m_collectsFor = nullptr; ///< Step for which room under the cap is kept; only compared. Null for none.
    TimePoint m_collectsUntil; ///< Until then it is kept.
    std::map<std::string, PoolUsage, std::less<>> m_pools; ///< By pool.
};

/** An attempt that counts although it is not the current one of its task. */
struct CountedAttempt {
    CustomerUsage* m_customer = nullptr; ///< Its customer.
    PoolUsage* m_pool = nullptr; ///< Its customer's usage of the pool; null where the pool is not known.
    TaskName m_task; ///< Its task.
    std::uint32_t m_attempt = 0; ///< Its number.
    Resources m_size; ///< Its full size.
};

namespace detail {

    /** Takes over caps and weights. A customer that has left the configuration keeps its last ones for the jobs that were accepted. */
    void setCustomers(Scheduler& scheduler, const ClusterSettings& cluster);

    /** @return The entry of a customer, which is created if there is none. */
    CustomerUsage& findOrCreateCustomer(Scheduler& scheduler, const std::string& name);

    /** Connects a new job with its customer, if it has one. */
    void assignCustomer(Scheduler& scheduler, Job& job);

    /** Has the job's customer compared with others in the pool in which the job's tasks are placed from now on. */
    void assignPoolUsage(Job& job);

    /** Counts an attempt that has been placed or restored, in the pool of its worker. */
    void countAttempt(Scheduler& scheduler, const TaskRef& ref);

    /** Ends the count of the current attempt of a task. */
    void releaseAttempt(const TaskRef& ref);

    /** Counts the attempts on a worker that serves another pool than was known. */
    void recountPool(Scheduler& scheduler, std::int32_t worker);

    /**
     * Counts anew the attempts that may run on a worker without being current: those that its latest report lists, and those whose start may still
     * be carried out.
     */
    void recountLingering(Scheduler& scheduler, std::int32_t worker);

    /** @return Number of tasks of a step that may start now within the customer's cap, at most the given limit; all or none of a gang. */
    std::uint32_t countAllowed(const Scheduler& scheduler, const StepRun& run, std::uint32_t limit);

    /**
     * Notes whether the customer's cap leaves no room for a waiting step. Such a step is examined again when an attempt of the customer has ended or
     * its cap has changed. A step that needs more room than smaller ones leave it has room collected for a while.
     * @param placeable Number of tasks that could be placed without a cap.
     */
    bool isHeldByCap(Scheduler& scheduler, StepRun& run, std::uint32_t placeable, TimePoint now);

    /** Sums up the tasks for which approvals are requested, by customer. */
    void sumRequested(Scheduler& scheduler);

    /** @return Whether a step may request approvals for a task, as the requests of the customer's other steps don't use up the room under its cap. */
    bool mayRequestWithinCap(const Scheduler& scheduler, const StepRun& run);

    /** @return Whether all that the ledgers hold follows from the attempts. */
    bool areCustomersConsistent(const Scheduler& scheduler);

} // namespace detail

} // namespace bulrushloft::scheduler
