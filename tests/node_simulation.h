/** @file node_simulation.h Several daemons' state machines, the fakes and callers under one controlled clock, with faults. */
#pragma once

#include "fake_log.h"
#include "fake_runner.h"
#include "fake_worker.h"
#include "process/node_func.h"

#include <functional>
#include <iosfwd>
#include <memory>
#include <queue>
#include <set>

namespace bulrushloft {

/** What goes wrong. */
enum class FaultKind : std::uint8_t {
    KillNode, ///< A daemon dies and starts again, empty, after the length.
    SuspendNode, ///< A daemon does nothing for the length, then goes on as if nothing had been.
    PartitionNodeFromLog,
    PartitionNodeFromEndpoints, ///< From half of the workers and runners.
    PartitionNodeFromPeers,
    PartitionWorker, ///< A worker is cut off from all.
    RebootWorker, ///< A worker's VM is replaced by an empty one of the same address.
    RebootRunner,
    LogOutage,
    LoseAppendAnswers, ///< Half of the appends take effect without an answer.
    DelayMessages, ///< Some calls are delivered seconds late, after their caller has given up.
    WorkerLeaves,
    RunnerLeaves,
    KillAllNodes,
    ShutDownNode, ///< A daemon is shut down gracefully and starts again.
    CancelJobs, ///< A wave of cancellations.
    FailingWorker, ///< A worker fails everything.
};

constexpr unsigned faultKindCount = 17;

/** One fault. */
struct Fault {
    FaultKind m_kind = FaultKind::KillNode; ///< What goes wrong.
    std::int64_t m_atMs = 0; ///< When it begins, after the start of the load.
    std::int64_t m_durationMs = 0; ///< How long it lasts.
    std::uint32_t m_target = 0; ///< Which one of its kind is hit.
};

std::ostream& operator<<(std::ostream& stream, const Fault& fault);

/** Sizes and times of a run. */
struct NodeSimulationOptions {
    std::uint64_t m_seed = 1; ///< Seed of all random choices.
    std::uint32_t m_nodes = 4; ///< Daemons.
    std::vector<Fault> m_faults; ///< What goes wrong.
    Duration m_loadDuration { 30'000 }; ///< How long work is sent.
    Duration m_recoveryDuration { 90'000 }; ///< Longest time until all has ended after the last fault.
    Duration m_retention { 40'000 }; ///< Of the log.
    Duration m_listLag { 1'000 }; ///< Of the list of VMs.
    std::uint32_t m_requestsPerSecond = 20; ///< Requests of all callers.
    std::uint32_t m_jobsPerSecond = 2; ///< Jobs of all callers.
    std::uint32_t m_changesPerSecond = 1; ///< Changes of settings of all operators; each is a race of two.
    bool m_areTokensIgnored = false; ///< The endpoints' guard is out.
    bool m_areLeasesIgnored = false; ///< The workers' guard is out.
    std::int64_t m_maxTaskRunMs = 3'000; ///< Tasks run up to so long.
};

/** What callers saw of one piece of work. */
struct CallerWork {
    std::string m_key; ///< Its key.
    bool m_isRequest = false; ///< A request, otherwise a job.
    bool m_isIdempotent = false; ///< As it was sent.
    RunOutcome m_outcome = RunOutcome::Unknown; ///< What was told in the end; Done for an accepted job.
    bool m_isAnswered = false; ///< The caller has its final answer.
    std::string m_id; ///< Id of the accepted job.
    JobSpec m_spec; ///< What was asked for.
    TimePoint m_sentAt; ///< When it was first sent.
    TimePoint m_answeredAt; ///< When the final answer came.
    std::string m_error; ///< Why there is no result.
};

/** What an operator saw of one change. */
struct OperatorChange {
    SettingsChange m_change; ///< The change.
    std::optional<ChangeVerdict> m_verdict; ///< What was told, if anything certain.
    TimePoint m_acceptedAt; ///< When it was told to be accepted.
};

/** Everything. */
class NodeSimulation {
public:
    explicit NodeSimulation(NodeSimulationOptions options);
    ~NodeSimulation();

    /** Runs load and faults, heals everything, waits until all has ended. */
    void run();

    /** @return What is wrong with what happened, in words; empty when every promise held. */
    std::vector<std::string> findViolations();

    /** @return Counts of what was tried, for reports. */
    std::string summary() const;

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft
