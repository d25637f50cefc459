/** @file cell_simulation.h Deterministic simulation of a cell: daemons, store, workers and clients on a simulated clock, with fault injection and invariant checks. */
#pragma once

#include "process/cell/cell_func.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace bulrushloft::test {

/** Further kinds of faults, as bits of CellSimulationOptions::m_extraFaults; each fault of a simulation is then one of them with probability 1/2. */
enum ExtraFault : std::uint32_t {
    BusyFault = 1, ///< The decision thread of a daemon, mostly the leader, is overloaded: its rounds of work are long.
    SlowPeersFault = 2, ///< Messages between daemons take up to seconds.
    FlapFault = 4, ///< A third of the workers crash and restart several times within seconds.
    LeaderKillsFault = 8, ///< Leaders are killed in quick succession.
    SplitFault = 16, ///< A part of the daemons can't reach the others; all reach the workers, and the part may be cut off from the store.
    DeafWorkersFault = 32, ///< Half of the workers can't be reached; their attempts go on.
    HeldOrdersFault = 64, ///< A daemon holds its orders back for seconds before they leave, so that they may reach a later process of the worker.
};

/** A period in which the store leaves a share of its writes unanswered and carries them out 1 to 6 s later; reads are answered. Times count from the start of the load. */
struct LossyWrites {
    double m_share = 0; ///< Share of the writes, 0 to 1; 0 for no such period.
    Duration m_start; ///< Start of the period.
    Duration m_length; ///< Its length; it may go on after the load.
};

/** A period in which the store is slow and carries a share of its writes out 1 to 6 s late, without an answer. Times count from the start of the load. */
struct SlowLossyStore {
    std::int64_t m_slowFactor = 60; ///< Calls and appends take this many times as long.
    double m_lateShare = 0.35; ///< Share of the writes, 0 to 1.
    Duration m_start; ///< Start of the period.
    Duration m_length; ///< Its length; 0 for no such period.
};

/** A loss of power of all daemons under a backlog. Times count from the start of the load. */
struct PowerLoss {
    Duration m_at; ///< When all daemons stop; 0 for never.
    Duration m_downTime { 1'300 }; ///< When they start again.
    int m_backlogJobs = 0; ///< Further jobs, submitted shortly before.
};

/** Crashes of a third of the workers at a time. Times count from the start of the load. */
struct RackWaves {
    int m_count = 0; ///< Number of crashes.
    Duration m_first; ///< Time of the first one.
    Duration m_interval; ///< Time between two.
    Duration m_downTime { 5'000 }; ///< When the workers start again.
};

/** Which messages pass between the daemons of a cut side and the others. */
enum class CutDirection : std::uint8_t {
    Both, ///< None.
    FromOthers, ///< Those that the cut side sends; messages and answers of the others don't arrive.
    ToOthers, ///< Those that the others send; messages and answers of the cut side don't arrive.
};

/** Which calls to the store a cut leaves unanswered on the cut side. */
enum class StoreCut : std::uint8_t {
    None, ///< None.
    All, ///< All.
    LeaderTopic, ///< Those on the topic of the leadership claims.
};

/** A cut of the leader, and possibly of further daemons, from the others. Half of the workers are reached from the cut side only, the others only from the others. Times count from the start of the load. */
struct ZoneCut {
    int m_count = 0; ///< Number of cuts, one after another; each hits whoever leads then.
    Duration m_start { 8'000 }; ///< Start of the first cut.
    Duration m_length { 22'000 }; ///< Length of a cut; longer than a new leader waits for leases of earlier terms.
    Duration m_pause { 4'000 }; ///< Time between two cuts.
    int m_companions = 1; ///< Further daemons on the leader's side.
    CutDirection m_direction = CutDirection::Both; ///< Which messages between daemons are lost.
    StoreCut m_store = StoreCut::All; ///< Which calls to the store are lost.
    Duration m_restartLead; ///< This long before the cut all daemons are killed and start again; 0 for never.
    Duration m_restartDownTime { 1'300 }; ///< How long they are down.
    bool m_restartsLeader = false; ///< Whether the leader's process is killed and starts again within the cut from its peers; the store is cut off once it leads again.
    int m_suspensions = 0; ///< Short suspensions of the cut leader during a cut.
    bool m_isFromJoiningVmOnly = false; ///< Whether messages pass between all daemons but the cut side and the VM of JoiningVm.
    Duration m_othersDownTime; ///< The daemons of the other side are killed as the cut begins and start again after this time; 0 for never.
};

/** An outage of the store for all daemons, which still reach each other and the workers. No attempt that runs when it begins may lapse. Times count from the start of the load. */
struct StoreOutage {
    Duration m_start { 8'000 }; ///< Start of the outage.
    Duration m_length; ///< Its length; 0 for none.
    bool m_isUnresponsive = true; ///< Whether calls time out; otherwise they are refused.
    Duration m_followerDownTime; ///< A daemon that does not lead is killed and starts again after this time; 0 for never.
    Duration m_followerLead; ///< It is killed this long before the start.
};

/** What becomes of a call to a silent partition; it is never carried out. */
enum class PartitionSilence : std::uint8_t {
    Unanswered, ///< It gets no answer.
    Reset, ///< Its connection is reset at once, so that the caller can't know whether it was carried out.
    Refused, ///< It is refused at once.
};

/** Periods in which some partitions of the store don't answer while all others do. Times count from the start of the load. */
struct SilentPartitions {
    std::vector<StorePartition> m_partitions; ///< Silent partitions.
    std::vector<std::string> m_topics; ///< Further ones: of each topic the partition to which most was appended since the last such period.
    double m_share = 0; ///< Share of all partitions, 0 to 1, that are silent too; the seed decides which.
    Duration m_start { 8'000 }; ///< Start of the first period.
    Duration m_length; ///< Length of a period; 0 for none.
    int m_count = 1; ///< Number of periods.
    Duration m_pause { 4'000 }; ///< Time between two.
    PartitionSilence m_kind = PartitionSilence::Unanswered; ///< What becomes of the calls.
    Duration m_leaderKillDelay; ///< This long after each start the leader's process is killed and stays away; 0 for never.
    Duration m_followerDownTime; ///< A daemon that does not lead is killed at each start and starts again after this time; 0 for never.
    Duration m_settlingTime { 3'000 }; ///< From this long after a start until the end, submissions are to be accepted.
    bool m_mustTasksEnd = true; ///< Whether from then on tasks must keep ending.
    bool m_mustLeasesHold = true; ///< Whether no attempt that runs at a start may lapse.
};

/** How the leader ends in a measurement of the time that a new leader takes. */
enum class LeaderEnd : std::uint8_t {
    Killed, ///< The process is killed and stays away.
    Restarted, ///< The process is killed and starts again at once.
    Terminated, ///< The process receives SIGTERM and ends 2 s later.
};

/** A measurement of the time from the end of the leader until tasks run again. Times count from the start of the load. */
struct TakeOver {
    Duration m_at; ///< When the leader ends; 0 for no measurement.
    LeaderEnd m_end = LeaderEnd::Killed; ///< How it ends.
    Duration m_downTime { 300 }; ///< How long a restarted leader is down.
};

/** A VM that joins the cell, whose process is the youngest and strongest, so that it leads next. Times count from the start of the load. */
struct JoiningVm {
    Duration m_at; ///< When its process starts; 0 for no such VM.
    Duration m_leaderEndsBefore; ///< This long before, the VM that leads is taken away for good; 0 for never.
};

/** Connections of the daemons to the workers, and faults of them. Times count from the start of the load. */
struct ConnectionFaults {
    int m_workerCap = 0; ///< Connections that a worker accepts from all daemons together; further ones are reset at once. 0 for calls that need no connection.
    int m_orderPool = 6; ///< Connections of a daemon to a worker for all calls but syncs. More than WorkerClient opens, so that workers fill up soon and the two kinds of calls fare differently.
    int m_syncPool = 2; ///< The same for syncs; 0 if they use the other pool.
    int m_powerLossCount = 0; ///< Number of daemons that lose power, one after another; their connections stay open at the workers.
    bool m_hitsLeader = true; ///< Whether the leader loses power; otherwise a random daemon does.
    bool m_isKill = false; ///< Whether the process is killed instead, which closes its connections.
    Duration m_start { 4'000 }; ///< Time of the first fault.
    Duration m_interval { 3'000 }; ///< Time between two faults.
    Duration m_downTime { 1'500 }; ///< When a daemon that lost power starts again.
    double m_sickShare = 0; ///< From the first fault on, this share of the workers, 0 to 1, is sick; the seed decides which.
    bool m_doSickTakeOrders = false; ///< Whether a sick worker answers other calls than syncs.
    double m_closedShare = 0; ///< Share of the new connections, 0 to 1, that a sick worker resets.
    double m_lateShare = 0; ///< Share of the orders, 0 to 1, that a sick worker does not answer and carries out 0.5 to 12 s later.
    int m_silenceCount = 0; ///< Number of times at which open connections go silent for good.
    double m_silentShare = 0; ///< Share of them, 0 to 1.
};

/** Crashes of a share of the workers, again and again; no task is their cause. Times count from the start of the load. */
struct WorkerCrashSeries {
    int m_count = 0; ///< Number of times.
    double m_share = 0.3; ///< Share of the workers that crash each time, 0 to 1; the seed decides which.
    Duration m_start { 4'000 }; ///< Time of the first crashes.
    Duration m_interval { 1'000 }; ///< Time between two.
    Duration m_downTime { 300 }; ///< When the workers start again.
    double m_darkShare = 0; ///< Share of those that crash, 0 to 1, that leave calls unanswered while they are down.
    Duration m_cutLength; ///< The workers are cut off for this long, and crash and start again meanwhile; 0 for no cut.
    bool m_isRenamed = true; ///< Whether a new process has another id at the same address; the announcement of the old one stays for some seconds.
};

/** Customers whose keys the operator replaces now and then, and calls with valid and removed keys to all daemons. */
struct KeyChanges {
    int m_customers = 0; ///< Number of customers; 0 for a configuration without customers. The key of the first one stays; the clients of the jobs use it.
    Duration m_limit { 5'000 }; ///< CellOptions::m_keyRevocation.
    Duration m_interval { 2'500 }; ///< Mean time between two changes.
    double m_unreadableShare = 0; ///< Share of the changes, 0 to 1, before which a record is stored that can't be decoded.
    int m_suspensions = 0; ///< Suspensions of random daemons for up to 9 s during the load.
};

/** Customers of the jobs, whose caps change in turn. Times count from the beginning. */
struct CustomerCaps {
    int m_customers = 0; ///< Number of customers, at most 9; every fifth job has none. 0 for no customers.
    std::vector<std::int64_t> m_cpuMilli { 3'000, 6'000, 4'000 }; ///< Caps in thousandths of a core; each customer takes the next one with each change.
    double m_overrun = 0.1; ///< See SchedulerOptions::m_capOverrun.
    int m_changes = 0; ///< Number of changes of all caps.
    Duration m_firstChange { 5'000 }; ///< Time of the first one.
    Duration m_changeInterval { 4'000 }; ///< Time between two.
};

/** Versions of the configuration that send queues to another pool. Every second worker serves that one. Times count from the start of the load. */
struct QueueMoves {
    int m_count = 0; ///< Number of versions; each moves about half of the queues, one at least. 0: all workers serve one pool.
    Duration m_first { 3'000 }; ///< Time of the first one.
    Duration m_interval { 3'000 }; ///< Time between two.
    Duration m_removal; ///< A share of the moves takes so long: meanwhile a version does not name the queues; 0 for none of them.
    double m_removalShare = 0.4; ///< That share, 0 to 1.
    Duration m_emptied; ///< Soon after a move the workers of a former pool crash and stay away for so long; 0 for never.
    bool m_isCalm = false; ///< Nothing fails, so that no task may start in a former pool once the version is in force.
};

/** Size, load and faults of a simulation. */
struct CellSimulationOptions {
    std::uint64_t m_seed = 1; ///< Seed of all random choices.
    int m_nodes = 4; ///< Number of daemons.
    int m_workers = 6; ///< Number of workers, all in one pool unless queues are moved.
    int m_jobs = 60; ///< Number of jobs that clients submit.
    int m_faults = 6; ///< Number of faults, injected at random times during the load.
    int m_capacityChanges = 0; ///< How often the capacity of a worker shrinks during the load; it grows again seconds later. During half of these, the worker can't be reached.
    double m_lateOrderShare = 0.03; ///< Share of orders, 0 to 1, that time out at the sender and are carried out seconds later.
    std::uint32_t m_extraFaults = 0; ///< Further kinds of faults to inject; bits of ExtraFault.
    std::int64_t m_minRoundMs = 100; ///< Shortest round of a busy decision thread, in ms.
    std::int64_t m_maxRoundMs = 590; ///< Longest round of a busy decision thread, in ms; from 600 ms on the daemon takes it for a suspension.
    bool m_needsApprovals = false; ///< Whether starts need tickets of an approval service; the workers then are large, and there are large tasks and gangs.
    LossyWrites m_lossyWrites; ///< Writes whose answers are lost.
    SlowLossyStore m_slowLossyStore; ///< A store that is slow and lossy, and checks of its partitions and callers once it is sound.
    std::vector<Duration> m_leaderKills; ///< When the leader is killed, if there is one; counts from the start of the load.
    double m_customerWeight = 0; ///< Jobs per second that the customer of all jobs is entitled to; 0 for a configuration without customers.
    int m_maxTries = 8; ///< How often a client submits a job at most.
    bool m_printsTraffic = false; ///< Whether to print, for each second, the attempts to append to each partition and its waiting time.
    PowerLoss m_powerLoss; ///< Loss of power of all daemons.
    RackWaves m_rackWaves; ///< Crashes of workers.
    ZoneCut m_zoneCut; ///< Cuts of the leader from other daemons.
    StoreOutage m_storeOutage; ///< An outage of the store for all daemons.
    SilentPartitions m_silentPartitions; ///< Partitions of the store that don't answer.
    TakeOver m_takeOver; ///< Measurement of the time that a new leader takes.
    JoiningVm m_joiningVm; ///< A further daemon that starts during the load.
    ConnectionFaults m_connectionFaults; ///< Connections to workers.
    WorkerCrashSeries m_crashSeries; ///< Crashes of workers in series. No job may be given up for them.
    KeyChanges m_keyChanges; ///< Customers with keys. No call that was sent later than the limit with a removed key may pass.
    CustomerCaps m_caps; ///< Customers.
    QueueMoves m_queueMoves; ///< Queues that are sent to another pool. With CustomerCaps, whose caps then change with each version, m_changes must be 0.
    Duration m_startTime; ///< A job that could run has a running task again after this time, whenever no daemon and not the store is disrupted; 0 leaves that unchecked.
    double m_longRunShare = 0; ///< Share of the attempts, 0 to 1, with the run time below; gangs excepted.
    Duration m_longRunTime { 18'000 }; ///< Run time of these attempts.
    Duration m_finishTime { 0 }; ///< This long after the load no job may stand still although it could run; 0 leaves that unchecked.
    bool m_stopsAtViolation = true; ///< Whether the first violation ends the simulation.
    Duration m_loadDuration { 20'000 }; ///< Period in which clients submit jobs and faults are injected.
    Duration m_recoveryDuration { 40'000 }; ///< Period after the load, without new faults, in which every accepted job must end.
};

/** Outcome of a simulation. */
struct CellSimulationResult {
    std::vector<std::string> m_violations; ///< Violated guarantees, with the simulated time; empty if all held.
    int m_accepted = 0; ///< Jobs whose submission was acknowledged.
    int m_complete = 0; ///< Accepted jobs that a daemon reported as complete.
    int m_cancelled = 0; ///< Jobs whose cancellation was acknowledged.
    int m_overLimit = 0; ///< Submissions that were refused as the customer was over its share.
    int m_refused = 0; ///< Jobs that were certainly not accepted: each submission was refused or never sent.
    std::uint64_t m_terms = 0; ///< Leader terms that were started.
    std::uint64_t m_startedAttempts = 0; ///< Task attempts that workers started.
    std::uint64_t m_approvalCalls = 0; ///< Calls to the approval service.
    std::uint64_t m_refusedTickets = 0; ///< Starts that workers refused for their ticket.
    std::int64_t m_longestWaitMs = 0; ///< Longest time that the work waiting in a partition takes, from 1 s after the store is sound.
    int m_soundSubmissions = 0; ///< Submissions that were sent from 4 s after the store is sound.
    int m_soundAccepted = 0; ///< Those of them that were accepted.
    int m_lateJobs = 0; ///< Jobs that were submitted when the cell should have recovered from a loss of power.
    int m_lateServed = 0; ///< Those of them that were served in time.
    int m_cuts = 0; ///< Cuts of a leader that have begun.
    int m_doubleTerms = 0; ///< Cuts in which two daemons led and gave orders at once, for any time.
    int m_guardedAttempts = 0; ///< Attempts that ran when an outage of the store began.
    int m_lapsedAttempts = 0; ///< Those of them whose lease ended on the worker.
    int m_silentCount = 0; ///< Submissions that were sent, and were due for an answer, while partitions were silent and the cell had settled.
    int m_silentAccepted = 0; ///< Those of them that were accepted.
    int m_silentEnds = 0; ///< Tasks that ended as done while partitions were silent and the cell had settled.
    std::int64_t m_longestSilentGapMs = 0; ///< Longest time without such an end.
    int m_resetConnections = 0; ///< New connections that workers reset because they had accepted as many as they may.
    int m_mostHalfOpen = 0; ///< Most connections of daemons without power that were open at a worker at once.
    double m_highestCapUse = 0; ///< Largest part of its cap that a customer had running at a start.
    std::uint64_t m_fullCapStarts = 0; ///< Starts after which the cap of a customer has no room for another such task.
    int m_crashes = 0; ///< Crashes of workers in a series.
    int m_crashedAttempts = 0; ///< Attempts that ran on workers that crashed.
    int m_keyCalls = 0; ///< Calls with valid keys.
    int m_keyCallsPassed = 0; ///< Those of them whose key was accepted.
    int m_removedKeyCalls = 0; ///< Calls with removed keys that were sent later than the limit and answered.
    int m_graceCallsPassed = 0; ///< Calls with removed keys that were sent within the limit and whose key was accepted.
    bool m_hasJoinedVmLed = false; ///< Whether the daemon of JoiningVm has led while it was not on the list of members, after the end of a leader as in TakeOver if there is one.
    std::optional<std::int64_t> m_newLeaderMs; ///< Time from the end of the leader until another term leads, in ms.
    std::vector<std::int64_t> m_reachedRestartMs; ///< Time from the end of the leader until tasks of a worker that restarted at that time ran again, in ms; the new leader reaches it.
    std::vector<std::int64_t> m_unreachedRestartMs; ///< The same for tasks of workers that nobody reaches from that time on.
};

/**
 * Runs a simulation until its end or, unless the options say otherwise, the first violation.
 * The counts of jobs and terms are complete only if no violation ended the simulation early.
 */
CellSimulationResult runCellSimulation(const CellSimulationOptions& options);

} // namespace bulrushloft::test
