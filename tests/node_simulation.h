/** @file node_simulation.h Deterministic simulation of daemons, platform, workers, runners and callers on a simulated clock, with fault injection and checks of the guarantees. */
#pragma once

#include "fake_log.h"
#include "fake_runner.h"
#include "fake_worker.h"
#include "process/node/node_func.h"

#include <functional>
#include <iosfwd>
#include <memory>
#include <queue>
#include <set>

namespace bulrushloft {

enum class FaultKind : std::uint8_t {
    KillNode, ///< A daemon is killed, and is restarted with empty state after the duration.
    SuspendNode, ///< The process of a daemon is suspended for the duration, then continues with its old state.
    PartitionNodeFromLog, ///< A daemon can't reach the log.
    PartitionNodeFromEndpoints, ///< A daemon can't reach about half of the workers and runners.
    PartitionNodeFromPeers, ///< A daemon and its peers can't reach each other.
    PartitionWorker, ///< No daemon can reach a worker.
    RebootWorker, ///< The VM of a worker is replaced by an empty one with the same address.
    RebootRunner, ///< The VM of a runner is replaced by an empty one with the same address.
    LogOutage, ///< The log refuses all calls.
    LoseAppendAnswers, ///< Half of the appends take effect, but their answer is lost.
    DelayMessages, ///< Some messages are delivered seconds late, so that calls may take effect after their timeout.
    WorkerLeaves, ///< The VM list shows a worker as leaving until 8 s after the duration.
    RunnerLeaves, ///< The VM list shows a runner as leaving until 8 s after the duration.
    KillAllNodes, ///< As KillNode, for all daemons at once.
    ShutDownNode, ///< A daemon begins a graceful shutdown and is restarted 5 s after the duration.
    CancelJobs, ///< Callers cancel most of the jobs.
    FailingWorker, ///< All tasks that start on a worker fail.
};

constexpr unsigned faultKindCount = 17;

struct Fault {
    FaultKind m_kind = FaultKind::KillNode; ///< Type of the fault.
    std::int64_t m_atMs = 0; ///< Time of the injection in ms after the start of the load.
    std::int64_t m_durationMs = 0; ///< Duration in ms; ignored by reboots and cancellations.
    std::uint32_t m_target = 0; ///< Selects the affected daemon, worker or runner; taken modulo their number.
};

/** Prints a fault as "KIND(TARGET)@AT_MS+DURATION_MS". */
std::ostream& operator<<(std::ostream& stream, const Fault& fault);

/** Size, load and faults of a simulation. */
struct NodeSimulationOptions {
    std::uint64_t m_seed = 1; ///< Seed of all random choices.
    std::uint32_t m_nodes = 4; ///< Number of daemons.
    std::vector<Fault> m_faults; ///< Faults to inject.
    Duration m_loadDuration { 30'000 }; ///< Period in which callers send work; extended until the last fault has ended.
    Duration m_recoveryDuration { 90'000 }; ///< Period after the load, without faults, in which all accepted work must end.
    Duration m_retention { 40'000 }; ///< Retention period of the log.
    Duration m_listLag { 1'000 }; ///< Delay after which a change of the VM list is published.
    std::uint32_t m_requestsPerSecond = 20; ///< Average rate of requests over all callers; at most 50.
    std::uint32_t m_jobsPerSecond = 2; ///< Average rate of job submissions over all callers; at most 50.
    std::uint32_t m_changesPerSecond = 1; ///< Average rate at which two operators change the same settings at once; at most 50.
    bool m_areTokensIgnored = false; ///< Whether workers and runners accept stale fencing tokens; set only to verify that the checks detect violations.
    bool m_areLeasesIgnored = false; ///< Whether workers keep running tasks after their lease has expired; set only to verify that the checks detect violations.
    std::int64_t m_maxTaskRunMs = 3'000; ///< Longest run time of a task in ms, other than tasks of services.
};

/** A request or job as seen by its caller. */
struct CallerWork {
    std::string m_key; ///< Key under which the caller sends and retries it.
    bool m_isRequest = false; ///< Whether it is a request; otherwise it is a job.
    bool m_isIdempotent = false; ///< Whether the caller has marked it as idempotent.
    RunOutcome m_outcome = RunOutcome::Unknown; ///< Outcome reported to the caller; Done for an accepted job, Unknown before the final answer.
    bool m_isAnswered = false; ///< Whether the caller has its final answer or has given up.
    std::string m_id; ///< Id of the job; empty unless it was accepted.
    JobSpec m_spec; ///< Submitted job; unused for requests.
    TimePoint m_sentAt; ///< Simulated time of the first attempt.
    TimePoint m_answeredAt; ///< Simulated time of the final answer.
    std::string m_error; ///< Error message in the final answer; empty if there was none.
};

/** A settings change as seen by its operator. */
struct OperatorChange {
    SettingsChange m_change; ///< The change as sent.
    std::optional<ChangeVerdict> m_verdict; ///< Verdict in the final answer; empty while there is none or if the outcome is unknown.
    TimePoint m_acceptedAt; ///< Simulated time of that verdict.
};

/** The simulation. It is single-threaded and takes all random numbers from one generator, so that a run can be replayed from its seed and faults. */
class NodeSimulation {
public:
    explicit NodeSimulation(NodeSimulationOptions options);
    ~NodeSimulation();

    /** Runs load and faults, ends all faults and waits until all work has ended or the recovery period is over. */
    void run();

    /** Checks the guarantees after run(). @return One message for each violated guarantee; empty if all held. */
    std::vector<std::string> findViolations();

    /** @return Numbers of requests and jobs by outcome, and of changes, runs and faults, for reports. */
    std::string summary() const;

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft
