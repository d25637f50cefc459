/** @file cell_simulation_base.h The state of a simulation of a cell; its functions are split into files along their jobs. */
#pragma once

#include "cell_simulation.h"

#include "cell_simulation_load.h"
#include "fake_approvals.h"
#include "fake_lease_worker.h"
#include "fake_store.h"
#include "partition_queue.h"
#include "request/plan_func.h"

#include <algorithm>

namespace bulrushloft::test {

constexpr const char* configKey = "config";
constexpr const char* simulatedCustomer = "customer"; ///< Submits all jobs, if the configuration has customers.
constexpr const char* simulatedKey = "key of the customer";
constexpr int rackCount = 3;
constexpr Duration tickLength { 10 };
constexpr Duration appendTime { 2 }; ///< Time that an append occupies its partition of the store.
constexpr Duration queueSettlingTime { 1'000 }; ///< This long after the store is sound, little may wait in its partitions.
constexpr Duration callerSettlingTime { 4'000 }; ///< This long after the store is sound, callers must be served.
constexpr Duration clientTimeout { 3'000 };
constexpr Duration clientRetryDelay { 400 };
constexpr Duration maxVisibilityDelay { 3'000 }; ///< The platform requires that every daemon knows an accepted job within this time.
constexpr int maxCancelTries = 32;
constexpr Duration contactTime { 3'000 }; ///< A daemon or store without disruption for this long counts as in touch.
constexpr Duration maxTaskGap { 3'000 }; ///< While partitions are silent and tasks must keep ending, this long without an end is too long.
constexpr Duration heartbeat { 1'500 }; ///< A worker announces a change at most this long after it.

/** A daemon. Times are simulated milliseconds; an "until" in the past means that the condition is over. */
struct SimulatedNode {
    std::string m_name;
    std::unique_ptr<cell::CellNode> m_cell; ///< Null while the process is down.
    std::shared_ptr<bool> m_isAlive; ///< Shared with the callbacks of one process; false once it has ended, so that they do nothing.
    std::int64_t m_suspendedUntil = 0; ///< Until then the process executes nothing.
    std::int64_t m_suspendedMs = 0; ///< Total suspension of the process in ms, by which its steady clock lags.
    std::int64_t m_downUntil = 0; ///< Time at which a new process starts; only used while the process is down.
    std::int64_t m_busyUntil = 0; ///< Until then the decision thread works in long rounds.
    std::int64_t m_roundEndsAt = 0; ///< End of the current long round, until which the daemon takes no step.
    std::int64_t m_splitUntil = 0; ///< Until then only daemons of the same kind (split or not) reach each other.
    std::int64_t m_heldOrdersUntil = 0; ///< Until then orders leave the daemon seconds after they were issued.
    std::int64_t m_storeUnreachableUntil = 0; ///< Until then the network between daemon and store is down.
    std::int64_t m_cutUntil = 0; ///< Until then the daemon is on the cut side of a ZoneCut.
    bool m_wasLeading = false; ///< Whether it led at the last tick.
    std::int64_t m_storeCutUntil = 0; ///< Until then a ZoneCut leaves its calls to the store unanswered.
    std::uint64_t m_startCount = 0; ///< Processes started so far; makes instance numbers unique.
    std::deque<std::function<void()>> m_deferredDeliveries; ///< Messages and answers that arrived during a suspension; delivered at its end.
};

/** A connection of a daemon to a worker. */
struct WorkerConnection {
    SimulatedNode* m_owner = nullptr; ///< Null if only the worker still has it open.
    bool m_isForSyncs = false; ///< Pool of the daemon that it belongs to.
    bool m_isBusy = true; ///< Whether it carries a call or is being opened.
    bool m_isAtWorker = false; ///< Whether the worker's present process has it open.
    bool m_isSilent = false; ///< Whether nothing passes any more.
};

/** An order or a sync on its way to a worker. */
struct WorkerCall {
    SimulatedNode* m_node = nullptr; ///< The daemon that sends it.
    std::shared_ptr<bool> m_alive; ///< See SimulatedNode::m_isAlive.
    FakeLeaseWorker* m_worker = nullptr; ///< Its target.
    std::int64_t m_timeoutAt = 0; ///< When the daemon gives it up, in simulated ms.
    bool m_isSync = false; ///< Whether it is a sync.
    std::int64_t m_wait = 0; ///< How long the worker holds a sync back, in ms.
    std::function<OrderStatus(FakeLeaseWorker&)> m_perform; ///< Carries it out.
    std::function<void(OrderStatus)> m_onAnswer; ///< Called in the daemon's process.
};

/** A key of a customer. Times are simulated milliseconds. */
struct SimulatedKey {
    int m_customer = 0;
    std::string m_text;
    std::int64_t m_addedAt = 0; ///< When the configuration with it was stored.
    std::optional<std::int64_t> m_removedAt; ///< When the one without it was stored.
};

/** Where a version of the configuration sends the queues. */
struct PoolMarks {
    std::int64_t m_at = 0; ///< When it was stored, in simulated ms.
    std::string m_text; ///< For each queue the number of its pool, or a mark if the version does not name it.
};

/** A job as its client sees it. Times are simulated milliseconds. */
struct ClientJob {
    std::string m_id;
    std::string m_body; ///< Body of its submission.
    const SimulatedQueue* m_queue = nullptr; ///< Its queue.
    JobPlan m_plan; ///< The plan in the body.
    std::int64_t m_firstSentAt = 0; ///< When a submission was first sent; 0 before.
    std::int64_t m_completeAt = 0; ///< When a daemon first reported the job as complete; 0 before.
    std::int64_t m_stillSince = 0; ///< Since when it stands still although it could run; 0 if it doesn't.
    std::int64_t m_calmStillSince = 0; ///< The same while neither a daemon nor the store was disrupted.
    bool m_isStillReported = false; ///< A violation was reported for that.
    int m_tries = 0; ///< Submissions tried, at most CellSimulationOptions::m_maxTries.
    bool m_isAccepted = false; ///< A submission was acknowledged.
    bool m_mayBeAccepted = false; ///< At least one submission timed out or was answered other than with NotDone, so the job may run.
    bool m_isCancelRequested = false; ///< A cancellation was sent.
    bool m_hasStarted = false; ///< A worker has started a task of the job.
    bool m_isComplete = false; ///< A daemon has reported the job as complete.
    bool m_isGivenUp = false; ///< A daemon has reported the job as failed, and it might be given up.
    std::int64_t m_cancelAckedAt = 0; ///< When a cancellation was first acknowledged; 0 before.
    std::int64_t m_acceptedAt = 0; ///< When a submission was first acknowledged; 0 before.
};

/** The whole simulation. It is single-threaded and takes all random numbers from one generator, so that a run can be replayed from its seed. */
struct CellSimulation {
    explicit CellSimulation(const CellSimulationOptions& options);

    CellSimulationResult run();
    std::int64_t randomBetween(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(m_random); }
    bool randomBool(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }
    /** Runs work after a delay in simulated ms, at least 1. */
    void schedule(std::int64_t delay, std::function<void()> work) { m_events.emplace(m_now + std::max<std::int64_t>(delay, 1), std::move(work)); }
    /**
     * Records a violation, which ends the simulation.
     * @param description Begins with the violated guarantee: TWICE (a task ran again or in two places), LIMIT (capacity exceeded), CAP (a start exceeds the cap of a customer),
     * UNASKED (a task ran without a submitted job or after its cancellation), ORDER (a step started too early), LOST (an accepted
     * job did not complete or stands still), REFUSED (a refused job ran), RECOVER (too few are served after a loss of power), QUEUE (too much waits in a partition of a sound store),
     * ROUTE (a task started in a pool to which no version sends its queue), CONFIG (or in a former one although all was calm),
     * KEY (a removed key was accepted later than the limit, or a valid one refused although all was calm),
     * REJECTED (too few submissions are accepted although the store is sound or only some partitions are silent), LAPSED (a lease ended in an outage of the store or of partitions), STALLED (no task ends while partitions are silent). An inconsistent scheduler has no such prefix.
     */
    void reportViolation(const std::string& description) { m_result.m_violations.push_back(std::to_string(m_now) + " ms: " + description); }

    void startNode(SimulatedNode& node);
    /** Ends a daemon's process, if there is one; tick() starts the next one after downFor simulated ms. */
    void stopNode(SimulatedNode& node, std::int64_t downFor);
    cell::CellPorts makePorts(SimulatedNode& node);
    /** Sends a call to a worker, over a connection if the options say so. */
    void callWorker(const WorkerCall& call);
    /** Delivers a call after its wait. */
    void deliverAfterWait(const WorkerCall& call);
    /** Delivers a call that has left the daemon, subject to the faults in force. */
    void deliverOrder(const WorkerCall& call);
    /** Takes an idle connection, opens a new one or waits for one. */
    void callOverConnection(const WorkerCall& call);
    void openConnection(const WorkerCall& call);
    void runOnConnection(const std::shared_ptr<WorkerConnection>& connection, const WorkerCall& call);
    /** Carries out a share of the orders that a sick worker does not answer, seconds later, unless its process has ended. */
    void performLate(const WorkerCall& call);
    /** Ends a call after a delay in simulated ms, and closes its connection. */
    void failOnConnection(const std::shared_ptr<WorkerConnection>& connection, const WorkerCall& call, OrderStatus status, std::int64_t delay);
    /** Ends the use of a connection by a call; the next call that waits for one takes its place. */
    void releaseConnection(const std::shared_ptr<WorkerConnection>& connection, const WorkerCall& call, bool isKept);
    bool usesSyncPool(const WorkerCall& call) const { return call.m_isSync && m_options.m_connectionFaults.m_syncPool > 0; }
    /** @return Whether a worker can't accept a further connection. */
    bool isFull(const FakeLeaseWorker& worker) const;
    /** @return Whether a worker that is up and can be reached carries out orders. */
    bool canTakeOrders(const FakeLeaseWorker& worker) const { return worker.m_takesOrders && worker.m_closedShare == 0 && !isFull(worker); }
    /** Closes the connections of a daemon, or leaves them open at the workers for good. @param isIdleOnly Whether busy ones stay. */
    void dropConnections(const SimulatedNode& node, bool isIdleOnly, bool isClosed);
    /** Ends the connections of a worker whose process has ended. @param isDark Whether the daemons can't know. */
    void dropConnectionsOf(const FakeLeaseWorker& worker, bool isDark);
    /** Ends a daemon's process without closing its connections; tick() starts the next one after downFor simulated ms. */
    void losePower(SimulatedNode& node, std::int64_t downFor);
    /** Schedules the faults of connections in the options. */
    void scheduleConnectionFaults();
    /** Ends a daemon as the options say; waits for a leader if it is to hit the leader and there is none. */
    void endDaemon();
    void makeWorkersSick();
    void silenceConnections();
    void closeConnectionsOfFormerLeaders();
    std::int64_t randomRunTime(const TaskName& task);
    /** Calls the approval service on behalf of a daemon. */
    void requestApprovals(SimulatedNode& node, const TaskName& step, const std::vector<std::string>& workers, Duration timeout, const std::function<void(std::optional<std::vector<Approval>>)>& onAnswer);
    std::int64_t steadyTimeOf(const SimulatedNode& node) const { return m_now - node.m_suspendedMs; }
    /** Runs a callback in a daemon's process after a delay in simulated ms. It is deferred while the daemon is suspended and dropped once the process has ended. */
    template <typename Callback>
    void deliverLater(SimulatedNode& node, const std::shared_ptr<bool>& alive, std::int64_t delay, Callback callback);
    /** A call to the store that is on its way. @tparam Answer Its answer. */
    template <typename Answer>
    struct StoreCall {
        StorePartition m_partition; ///< The partition that it is for.
        std::function<Answer()> m_perform; ///< Carries out the call on m_store.
        std::int64_t m_timeoutAt = 0; ///< When the daemon gives it up.
        std::int64_t m_returnDelay = 0; ///< Time of the answer on the network in ms.
        bool m_isLate = false; ///< Whether it arrives seconds after it was sent; a late append is never refused.
        bool m_isGivenUp = false; ///< Whether it gets no answer; the daemon knows that from the time-out.
    };
    /** Calls the store, subject to the delays, losses and outages in force. @param perform Carries out the call on m_store. */
    template <typename Answer>
    void callStore(SimulatedNode& node, const StorePartition& partition, Duration timeout, std::function<void(Answer)> onAnswer, std::function<Answer()> perform);
    /** Places a call that has arrived at its partition in the queue, and answers it. @param fail Ends the call without an answer when the daemon gives it up. */
    template <typename Answer>
    void arriveAtPartition(SimulatedNode& node, const std::shared_ptr<bool>& alive, const StoreCall<Answer>& call, const std::function<void(Answer)>& onAnswer, const std::function<void()>& fail);
    /** @return When the store is sound again after the slow and lossy period; nothing if there is no such period. */
    std::optional<std::int64_t> soundTime() const;
    bool isSlowLossy() const { return soundTime() && m_now >= m_loadStart + m_options.m_slowLossyStore.m_start.m_ms && m_now < *soundTime(); }
    /** @return Factor by which the store is slower than usual. */
    std::int64_t storeSlowness() const;
    /** @return Share of the appends that get no answer and are carried out seconds later. */
    double lossyWriteShare() const;
    PartitionQueue& queueOf(const StorePartition& partition) { return m_partitionQueues[partition]; }
    FakeLeaseWorker* findWorker(const std::string& id);
    void makeWorker(int index);
    /** Writes a worker's record to the workers topic. */
    void announce(const FakeLeaseWorker& worker);
    /** Adds a job, which is submitted after a delay. */
    void addJob(std::int64_t submitDelay);
    /** Chooses a queue and a size; the job fits twice into the workers that are approved for it. */
    void chooseBody(ClientJob& job);
    void submit(std::size_t index);
    void cancel(std::size_t index, int tries);
    void queryJob(std::size_t index);
    void injectFault();
    /** Injects one of the further faults of the options. @param victim The leader or a random daemon. */
    void injectExtraFault(SimulatedNode& victim);
    void restartWorkers(int count, int times);
    /** Schedules the loss of power and the crashes of racks in the options. */
    void scheduleOutages();
    /** Ends a worker's process; its ends that are not acknowledged are lost. */
    void crashWorker(FakeLeaseWorker& worker);
    /** Schedules the series of crashes in the options. */
    void scheduleCrashSeries();
    /** Crashes a share of the workers, or cuts them off first. */
    void crashShare();
    /** Crashes a worker that starts again after downTime. */
    void crashInSeries(FakeLeaseWorker& worker);
    /** Starts a new process of a worker, which is announced, after a delay in simulated ms, under its old or another id. */
    void restartInSeries(FakeLeaseWorker& worker, std::int64_t announceDelay);
    /** Begins, breaks or gives up the gangs on the workers; the members work only while all of them run. */
    void tickGangs();
    void killLeaders(int times);
    /** Makes about half of the workers unreachable for some seconds. */
    void muteWorkers();
    /** @return A daemon that takes itself for the leader; null if there is none. */
    SimulatedNode* findLeader();
    /** @return The one of the latest term; null if there is none. */
    SimulatedNode* findLatestLeader();
    /** Schedules the cuts, the outage of the store and the measurement in the options. */
    void scheduleZoneCuts();
    void scheduleStoreOutage();
    void scheduleTakeOver();
    /** Schedules the start of the daemon that joins in the options, and the end of the one that it replaces. */
    void scheduleJoiningVm();
    bool isJoiningVm(const SimulatedNode& node) const { return static_cast<int>(m_nodes.size()) > m_options.m_nodes && &node == &m_nodes.back(); }
    /** Cuts the leader and its companions off until the end of the cut; waits for a leader if there is none. */
    void beginZoneCut(std::int64_t until);
    /** Cuts a side off from the store, if the options say so, once its leader leads or at the latest at a given time. */
    void cutFromStore(SimulatedNode& leader, std::int64_t latestAt);
    /** Suspends a daemon several times during a cut, each time for less than a daemon takes for a suspension. */
    void suspendShortly(SimulatedNode& node);
    bool isCut(const SimulatedNode& node) const { return m_now < node.m_cutUntil; }
    /** @return Whether messages from one daemon to another are lost in a cut. */
    bool isCutBetween(const SimulatedNode& from, const SimulatedNode& to) const;
    bool isStoreCut(const SimulatedNode& node, const std::string& topic) const;
    /** @return Whether orders of a daemon don't reach a worker. */
    bool isCutOff(const SimulatedNode& node, const FakeLeaseWorker& worker) const;
    /** Counts the cuts in which two daemons lead and give orders at once, and takes the time until another term leads. */
    void observeLeaders();
    /** Notes whether the daemon that joins leads although no earlier leader has asked it. */
    void observeJoiningVm();
    void beginStoreOutage();
    /** Kills a daemon that does not lead; it starts again after downTime. */
    void killFollower(Duration downTime);
    /** Counts an attempt whose lease has ended, and reports it if it ran when the outage of the store began (LAPSED). */
    void checkLapse(const FakeLeaseWorker& worker, const TaskName& task, std::uint32_t attempt);
    /** Schedules the periods with silent partitions in the options. */
    void scheduleSilence();
    void beginSilence();
    /** @return The partition of a topic to which most was appended since the latest period with silent partitions. */
    StorePartition partitionInUse(const std::string& topic);
    bool isSilent(const StorePartition& partition) const;
    /** @return Whether partitions are silent and the cell has had time to settle. */
    bool isSettledInSilence() const { return m_now >= m_silenceSettledAt && m_now < m_silentUntil; }
    /** Counts a task that has ended as done. */
    void noteSilentEnd();
    /** Checks that tasks end while partitions are silent (STALLED). */
    void checkSilence();
    /** Checks the share of submissions that were accepted while partitions were silent (REJECTED). */
    void checkSilentSubmissions();
    /** Schedules the changes of keys, the calls with them and the suspensions in the options. */
    void scheduleKeyChanges();
    /** Replaces the key of a customer, or stores a record that can't be decoded and replaces the key later. */
    void changeKeys();
    void replaceKey();
    /** Sends a call whose answer shows whether its key was accepted. */
    void sendKeyCall();
    /** Checks the answer to such a call. */
    void checkKeyCall(const SimulatedNode& node, std::size_t keyIndex, std::int64_t sentAt, bool hasPassed);
    /** @return Value of the record of the configuration: the version, and customers with keys. */
    std::string configText() const;
    cell::OperatorRecord decodeConfig(const std::string& text) const;
    /** @return Key of the calls about jobs; empty without customers. */
    std::string jobKey() const { return m_keys.empty() ? std::string() : m_keys.front().m_text; }

    /** @return The key in the calls about a job; empty if the configuration has no customers. */
    std::string keyOf(const ClientJob& job) const;
    std::int64_t keyRandom(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(m_keyRandom); }
    void endLeader();
    /** @return The customer of a job, by the body of its submission; empty for none. */
    std::string customerOf(const std::string& body) const;
    /** @return The customers in a version of the configuration. */
    std::vector<CustomerSettings> makeCustomers(std::int64_t version) const;
    /** Schedules the changes of caps in the options. */
    void scheduleCapChanges();
    /** @return The highest cap of a customer, in thousandths of a core, of the configurations that may be in force. */
    std::int64_t highestCap(const std::string& customer) const;
    /** Checks the cap of the customer of an attempt that is about to start (CAP). */
    void checkCap(const TaskName& started, const std::string& attemptName);
    /** @return The pool that a worker serves. */
    std::string poolOfWorker(const std::string& id) const;
    /** @return The pool of a queue by the latest version that has named it. */
    std::string poolOfQueue(const SimulatedQueue& queue) const;
    /** Sends the queues of a version to their pools, and removes those that it does not name. @param text Value of its record. */
    void applyPools(ClusterSettings& settings, const std::string& text) const;
    /** Stores a version of the configuration. @param marks See PoolMarks. */
    void storePools(const std::string& marks);
    /** Schedules the moves in the options. */
    void scheduleQueueMoves();
    void moveQueues();
    /** Crashes the workers of a pool, which start again later. */
    void emptyPool(const std::string& pool);
    /** Checks that the pool in which an attempt is about to start is one for its queue (ROUTE, CONFIG). */
    void checkRoute(const FakeLeaseWorker& worker, const TaskName& task, const std::string& attemptName);
    /** Takes the time at which an attempt is about to start, if it repeats one that the end of the leader was measured with. */
    void measureStart(const TaskName& task);
    bool isInRound(const SimulatedNode& node) const { return m_now < node.m_roundEndsAt; }
    std::int64_t peerDelay() { return m_now < m_slowPeersUntil ? randomBetween(1, 2'500) : 1; }
    /** Shrinks the capacity of a worker for some seconds. */
    void injectCapacityChange();
    /** @return The CPU capacity that a start must not exceed. A smaller one counts only after the leader must have learned of it, and not for orders carried out late. */
    std::int64_t countedCapacity(const FakeLeaseWorker& worker) const;
    /** Counts an attempt that a worker is about to start, and checks the guarantees that must hold at that time. */
    void checkStart(const FakeLeaseWorker& worker, const TaskName& task, std::uint32_t attempt);
    const ClientJob& jobOf(const TaskName& task) const { return m_jobs[m_jobById.at(task.m_job)]; }
    const StepPlan& stepOf(const TaskName& task) const { return jobOf(task).m_plan.m_steps.at(task.m_step); }
    /** @return Whether workers crashed twice soon after they had started a task of the job, so that it may be given up (issue 24). */
    bool mayBeGivenUp(const ClientJob& job) const;
    /** @return How long the attempts under which workers crashed had run; empty if there were none. */
    std::string describeCrashes(const ClientJob& job) const;
    /** @return The resources of all attempts on a worker. */
    Resources usedBy(const FakeLeaseWorker& worker) const;
    /** @return Number of tasks of a step that fit into the capacity, or what is free of it, of approved workers of a pool that run. */
    std::int64_t countRoom(const ClientJob& job, std::uint32_t step, bool isFreeOnly, const std::string& pool) const;
    /** @return The same for the pool of the job's queue. */
    std::int64_t countRoom(const ClientJob& job, std::uint32_t step, bool isFreeOnly) const { return countRoom(job, step, isFreeOnly, poolOfQueue(*job.m_queue)); }
    /** @return Whether so many tasks of a step fit into each pool that its queue may be sent to. */
    bool fitsEverywhere(const ClientJob& job, std::uint32_t step, std::int64_t tasks) const;
    /** @return The first step with tasks that have to run, and their number; nothing if all tasks are done. */
    std::optional<std::pair<std::uint32_t, std::uint32_t>> openStepOf(const ClientJob& job) const;
    /** Reports jobs that stand still although they could run (LOST). */
    void checkStandstill();
    /** @return Whether it is owed and could run: a step has its turn, and there is room for it twice over. */
    bool couldRun(const ClientJob& job) const;
    /** @return Whether less than half of the capacity of a pool is in use. */
    bool isHalfFree(const std::string& pool) const;
    /** Checks the work that waits in the partitions of a sound store (QUEUE). */
    void checkPartitions();
    /** Prints the attempts of the last second by partition. */
    void printTraffic();
    /** Checks the share of submissions that a sound store lets through (REJECTED). */
    void checkSubmissions();
    /** Checks the share of requests that are served after the loss of power (RECOVER). */
    void checkRecovery();
    void tick();
    /** Stops all daemons, fills in the result and checks what must hold at the end. */
    void finish();

    CellSimulationOptions m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_keyRandom; ///< Of the changes of keys, so that simulations without them are as before.
    std::vector<SimulatedKey> m_keys; ///< All keys so far; the first is never removed.
    std::uint64_t m_configVersion = 1; ///< Version of the configuration.
    std::optional<std::int64_t> m_unreadableSince; ///< Since when the newest record of the configuration can't be decoded.
    std::int64_t m_latestConfigAt = 0; ///< When the configuration was last stored.
    std::int64_t m_now = 10'000; ///< Simulated time in ms.
    std::multimap<std::int64_t, std::function<void()>> m_events; ///< Scheduled work by simulated time.
    const std::vector<SimulatedQueue>& m_queues;
    std::int64_t m_loadStart = 0; ///< When the load starts.
    std::int64_t m_loadEnd = 0; ///< When it ends.
    FakeApprovals m_approvals;
    std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>> m_workingGangs; ///< Job, step and attempt of the gangs of which all members have run.
    std::map<TaskName, std::vector<std::int64_t>> m_agesAtCrash; ///< How long attempts of a task had run when their workers crashed, in ms.
    std::set<TaskName> m_endedDone; ///< Tasks that have ended as done at a worker that has not lost that end.
    FakeStore m_store;
    std::set<StorePartition> m_overfilledPartitions; ///< Partitions that were reported as overfilled.
    std::map<StorePartition, PartitionCounts> m_printedCounts; ///< Counts at the last printTraffic().
    std::map<StorePartition, PartitionQueue> m_partitionQueues; ///< Those that were appended to or read.
    std::int64_t m_storeDownUntil = 0; ///< Until then the store is down and carries out no calls.
    bool m_isStoreUnresponsive = false; ///< Calls to a store that is down time out instead of being refused.
    std::int64_t m_storeSlowUntil = 0; ///< Until then calls take 40 times as long.
    std::int64_t m_storeLossyUntil = 0; ///< Until then answers of the store may be lost.
    std::int64_t m_slowPeersUntil = 0; ///< Until then messages between daemons take up to seconds.
    std::int64_t m_disruptedUntil = 0; ///< End of the latest disruption of the store or a daemon.
    std::int64_t m_workersCutUntil = 0; ///< Until then each worker is reached from one side of a cut only.
    std::set<std::string> m_cutWorkers; ///< Workers that only the cut side reaches.
    bool m_hasDoubleTerm = false; ///< Whether two daemons have led and given orders at once in the present cut.
    std::set<std::pair<TaskName, std::uint32_t>> m_guardedAttempts; ///< Attempts that ran when the outage of the store began.
    std::set<StorePartition> m_silentPartitions; ///< Those of the present or latest period.
    std::map<StorePartition, std::uint64_t> m_appendsBeforeSilence; ///< Attempts to append up to the end of the latest period.
    bool m_mustTasksEndInSilence = false; ///< Whether tasks must keep ending in it.
    bool m_mustAcceptInSilence = false; ///< Whether submissions are to be accepted in it.
    std::int64_t m_silentFrom = 0; ///< Start of the present or latest period with silent partitions; 0 before the first.
    std::int64_t m_silentUntil = 0; ///< Its end.
    std::int64_t m_silenceSettledAt = 0; ///< When the cell must have settled in it.
    std::int64_t m_latestSilentEndAt = 0; ///< When a task last ended in it; at first when the cell must have settled.
    std::int64_t m_reportedSilentEndAt = 0; ///< Its value at the latest report that tasks don't end.
    std::optional<std::int64_t> m_leaderEndedAt; ///< When the leader ended whose replacement is measured.
    std::uint64_t m_endedTerm = 0; ///< Its term.
    std::set<TaskName> m_reachedTasks; ///< Tasks that ran then on workers that restarted.
    std::set<TaskName> m_unreachedTasks; ///< Tasks that ran then on workers that nobody reaches.
    bool m_isLateOrder = false; ///< The order that a worker is carrying out was held up for seconds.
    std::map<std::string, std::vector<std::shared_ptr<WorkerConnection>>> m_connections; ///< Connections of each worker by the part of its id that stays the same.
    std::map<std::tuple<const SimulatedNode*, const FakeLeaseWorker*, bool>, std::deque<WorkerCall>> m_waitingCalls; ///< Calls that wait for a connection, by daemon, worker and whether the pool is that of the syncs.
    std::deque<SimulatedNode> m_nodes;
    std::deque<FakeLeaseWorker> m_workers;
    std::vector<ClientJob> m_jobs;
    std::map<std::string, std::size_t> m_jobById;
    std::map<TaskName, std::string> m_workerByRunningTask; ///< Worker of each running task.
    std::vector<PoolMarks> m_poolMarks; ///< Of all versions; empty if no queue is moved.
    std::vector<std::int64_t> m_configChanges; ///< When the versions after the first one were stored.
    std::set<TaskName> m_acknowledgedDone; ///< Tasks whose completion the leader has acknowledged; they must not start again.
    CellSimulationResult m_result;
};

template <typename Callback>
void CellSimulation::deliverLater(SimulatedNode& node, const std::shared_ptr<bool>& alive, std::int64_t delay, Callback callback)
{
    schedule(delay, [this, &node, alive, callback] {
        if (!*alive)
            return;
        const auto deliver = [this, &node, alive, callback] {
            if (!*alive)
                return;
            advanceTime(*node.m_cell, { steadyTimeOf(node) }, { m_now });
            callback();
        };
        if (m_now < node.m_suspendedUntil)
            node.m_deferredDeliveries.push_back(deliver);
        else
            deliver();
    });
}

} // namespace bulrushloft::test
