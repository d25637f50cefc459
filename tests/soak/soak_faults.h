/** @file soak_faults.h Faults of the soak, in series and overlapping, and the checks that belong to them. */
#pragma once

#include "daemon_process.h"
#include "fault_proxy.h"
#include "soak_clients.h"
#include "stand_in_store.h"
#include "stand_in_workers.h"

#include <memory>
#include <random>
#include <set>

namespace bulrushloft::soak {

/** A daemon and the proxies on its paths. */
struct SoakDaemon {
    std::unique_ptr<DaemonProcess> m_process;
    std::unique_ptr<FaultProxy> m_storeProxy; ///< On the path from the daemon to the store.
    std::unique_ptr<FaultProxy> m_peerProxy; ///< On the path from other daemons to this one.
    TimePoint m_restartAt; ///< When the process is started again; zero while it runs.
    TimePoint m_resumeAt; ///< When the stopped process goes on; zero while it runs.
    TimePoint m_disturbedUntil; ///< Until then bounds in time do not hold for this daemon.
    bool m_isEndExpected = false; ///< Whether the end of the current process was asked for.
    std::uint64_t m_configSeen = 0; ///< Highest version of the configuration that the current process was seen to use.
};

/** What the faults act on. */
struct FaultTargets {
    EventLoop& m_platformLoop;
    StandInStore& m_store;
    StandInWorkers& m_workers;
    std::vector<SoakDaemon>& m_daemons;
    SoakClients& m_clients;
    SoakHistory& m_history;
    int m_workerCount = 0;
    std::function<std::string(std::uint64_t)> m_makeConfig; ///< Text of the configuration with a version.
};

/** A store that is slow and loses writes for a time. Values that are zero are drawn at random. */
struct SlowLossyStore {
    Duration m_at; ///< When it begins, from now.
    Duration m_length; ///< How long it lasts.
    int m_slowness = 0; ///< Factor of all times of the store.
    double m_lateShare = 0; ///< Share of appends, 0 to 1, that stay unanswered and are carried out 1 to 6 s later.
};

/** Which ways between the sides of a cut are closed. */
enum class CutWays : std::uint8_t {
    Both, ///< Neither side hears the other.
    Outbound, ///< What the cut side sends is lost.
    Inbound, ///< What is sent to the cut side is lost.
};

/** The daemon that leads and some companions are cut off from the other daemons and from the store; each worker is reached by one side only. */
struct ZoneCut {
    Duration m_at; ///< When the first one begins, from now.
    Duration m_length { 22'000 }; ///< How long each lasts.
    int m_companions = 1; ///< Daemons on the leader's side, besides it.
    CutWays m_ways = CutWays::Both; ///< Ways that are closed.
    int m_count = 1; ///< Number of cuts, one after another; each is of the daemon that leads then.
    bool m_hasRestart = false; ///< All daemons are killed 2 to 6 s before each cut, and start again.
};

/** The store is down for all daemons. */
struct StoreOutage {
    Duration m_at; ///< When it begins, from now.
    Duration m_length { 10'000 }; ///< How long it lasts.
    bool m_isSilent = false; ///< Whether calls stay unanswered instead of being refused.
    bool m_hasKill = false; ///< Whether a daemon that does not lead is killed 1 s into the outage; it starts again 6 s later.
};

/** Some partitions of the store leave their calls unanswered while the others answer. */
struct SilentPartitions {
    Duration m_at; ///< When it begins, from now.
    Duration m_length { 10'000 }; ///< How long it lasts.
    std::set<StorePartition> m_partitions; ///< Silent partitions.
    double m_share = 0; ///< Share of all partitions, 0 to 1, that are silent too; drawn at random.
};

/** The daemon that leads ends, again and again, and starts again 1.5 s later. */
struct LeaderEnds {
    Duration m_at; ///< When the first one ends, from now.
    int m_count = 1; ///< Number of ends.
    Duration m_interval { 3'000 }; ///< Time between two.
    bool m_isPowerLoss = false; ///< Whether its connections to the workers stay open for good instead of being closed.
};

/** A share of the workers crashes, again and again. */
struct WorkerCrashes {
    Duration m_at; ///< When the first ones crash, from now.
    int m_count = 1; ///< Number of times.
    Duration m_interval { 1'000 }; ///< Time between two.
    Duration m_downTime { 300 }; ///< When the workers start again.
    double m_share = 0.3; ///< Share of the workers, 0 to 1; drawn at random.
    double m_darkShare = 0; ///< Share of those, 0 to 1, that leave calls unanswered while they are down.
};

/** Submissions that must be accepted, as the store is sound and no other fault is in force. */
struct ServedWindow {
    TimePoint m_from;
    TimePoint m_until;
};

/** Injects random faults. */
class FaultInjector {
public:
    FaultInjector(const FaultTargets& targets, std::uint64_t seed);

    /**
     * Schedules a loss of power of all daemons under a backlog of jobs. From shortly before it to the end of the soak, the store leaves a
     * share of its writes unanswered and carries them out seconds later.
     * @param at Time from now. @param backlog Number of jobs. @param lateShare The share, 0 to 1.
     */
    void schedulePowerLoss(Duration at, int backlog, double lateShare);

    /** Schedules a store that is slow and loses writes, alone or under random faults of the daemons' processes. */
    void scheduleSlowLossyStore(const SlowLossyStore& fault);

    /** Schedules one or more cuts. */
    void scheduleZoneCuts(const ZoneCut& fault);

    /** Schedules an outage of the store for all daemons. */
    void scheduleStoreDown(const StoreOutage& fault);

    /** Schedules silent partitions. */
    void scheduleSilentPartitions(const SilentPartitions& fault);

    /** Schedules ends of leaders in series. */
    void scheduleLeaderEnds(const LeaderEnds& fault);

    /** Schedules crashes of workers in series. */
    void scheduleWorkerCrashes(const WorkerCrashes& fault);

    /**
     * Injects faults for a time, then ends all of them; returns when all daemons run.
     * After a slow and lossy store there are no further faults until the recovery has been observed, if need be beyond that time.
     * @param hasRandomFaults Whether there are others than those that are scheduled.
     */
    void run(Duration length, bool hasRandomFaults);

    /** @return Times in which submissions must be accepted. */
    const std::vector<ServedWindow>& servedWindows() const { return m_servedWindows; }

private:
    /** Kinds of faults. */
    enum class Kind : std::uint8_t {
        Kill,
        Terminate,
        Suspend,
        Reload,
        StorePath,
        PeerPath,
        ResetConnections,
        StoreDown,
        StoreSlow,
        StoreLossy,
        StoreSlowAndLossy,
        Compact,
        WorkerCrash,
        WorkerSilent,
        LateOrders,
        KillAll,
        SilentPartitions,
        ChangeConfig,
        KindCount,
    };

    /** An action that ends a fault. */
    struct End {
        TimePoint m_at;
        std::function<void()> m_action;
    };

    /** Phases of a slow and lossy store. */
    enum class SlowLossyPhase : std::uint8_t {
        None,
        Alone, ///< In force, without further faults.
        Overlapped, ///< In force, with faults of processes.
        Recovery, ///< Over; the recovery is observed.
    };

    void inject(Kind kind);
    Kind drawKind();
    void beginSlowLossyStore(const SlowLossyStore& fault);
    void endSlowLossyStore();
    void killFollower();
    /** Ends the daemon that leads, or the next one that does if it is down. */
    void endLeader(bool isPowerLoss);
    /** Stops a daemon and leaves its connections to the workers open for good. */
    void losePower(SoakDaemon& daemon) const;
    void crashWorkers(const WorkerCrashes& fault);
    void beginSilence(const SilentPartitions& fault);
    void endSilence();
    void beginZoneCut(const ZoneCut& fault);
    void endZoneCut();
    /** @return Whether each daemon is on the leader's side of a new cut; empty when no daemon leads. */
    std::vector<bool> drawCutSide(int companions);
    PathCut makePeerCut(std::size_t called, const std::vector<bool>& isCut, CutWays ways) const;
    void observeRecovery(TimePoint now, bool isCalm);
    void checkQueues();
    void killAll(Duration shortestDownTime, Duration longestDownTime);
    void applyStoreFaults();
    void endDue(TimePoint now);
    void superviseProcesses(TimePoint now);
    void checkConfig(TimePoint now);
    void disturb(SoakDaemon& daemon, Duration length);
    void disturbAll(Duration length);
    void onPlatform(std::function<void()> work) { m_targets.m_platformLoop.post(std::move(work)); }
    SoakDaemon& anyDaemon() { return m_targets.m_daemons[static_cast<std::size_t>(randomBetween(0, static_cast<std::int64_t>(m_targets.m_daemons.size()) - 1))]; }
    std::int64_t randomBetween(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(m_random); }

    FaultTargets m_targets;
    std::mt19937_64 m_random;
    std::vector<End> m_ends;
    StoreFaults m_storeFaults;
    double m_lastingLateShare = 0; ///< Share of late appends outside of the faults that end.
    double m_lossyLateShare = 0; ///< Share of late appends while the store is lossy.
    double m_slowLossyLateShare = 0; ///< Share of late appends while the store is slow and lossy.
    SlowLossyPhase m_slowLossyPhase = SlowLossyPhase::None;
    TimePoint m_storeSoundAt; ///< When the latest slow and lossy store ended.
    TimePoint m_lastResumedAt; ///< When a daemon was last started again or resumed.
    std::vector<ServedWindow> m_servedWindows;
    std::uint64_t m_configVersion = 1; ///< Newest version that the operator has written.
    TimePoint m_configWrittenAt;
    TimePoint m_nextConfigCheckAt;
    EventLoop m_probeLoop { "probes" };
    HttpClient m_probeClient;
};

} // namespace bulrushloft::soak
