/** @file soak_faults.h Faults of the soak, in series and overlapping, and the checks that belong to them. */
#pragma once

#include "daemon_process.h"
#include "fault_proxy.h"
#include "soak_clients.h"
#include "stand_in_store.h"
#include "stand_in_workers.h"

#include <memory>
#include <random>

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

    /**
     * Injects faults for a time, then ends all of them; returns when all daemons run.
     * @param hasRandomFaults Whether there are others than a scheduled loss of power.
     */
    void run(Duration length, bool hasRandomFaults);

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
        Compact,
        WorkerCrash,
        WorkerSilent,
        LateOrders,
        KillAll,
        ChangeConfig,
        KindCount,
    };

    /** An action that ends a fault. */
    struct End {
        TimePoint m_at;
        std::function<void()> m_action;
    };

    void inject(Kind kind);
    void killAll(Duration shortestDownTime, Duration longestDownTime);
    void applyStoreFaults()
    {
        onPlatform([this, faults = m_storeFaults] { m_targets.m_store.setFaults(faults); });
    }
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
    std::uint64_t m_configVersion = 1; ///< Newest version that the operator has written.
    TimePoint m_configWrittenAt;
    TimePoint m_nextConfigCheckAt;
    EventLoop m_probeLoop { "probes" };
    HttpClient m_probeClient;
};

} // namespace bulrushloft::soak
