/**
 * @file main.cpp The fault soak: real daemons on loopback with stand-ins of the platform, faults from outside, and checks of the
 * promises over what callers and workers see. Prints the seed, counts and violations; exits with 1 when a promise was broken.
 */
#include "daemon_process.h"
#include "fault_proxy.h"
#include "soak_clients.h"
#include "soak_faults.h"
#include "stand_in_store.h"
#include "stand_in_workers.h"

#include <charconv>
#include <filesystem>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(daemon, "build/bulrushloftd", "path of the daemon's program");
DEFINE_string(directory, "", "directory for start-up files and logs; a new one under the temporary directory if empty");
DEFINE_uint64(seed, 1, "first seed of the random choices");
DEFINE_uint64(runs, 1, "number of runs, with consecutive seeds");
DEFINE_int32(network, 0, "second number of the loopback addresses of daemons and platform, 0 to 9, and 10 less than that of the workers; runs at the same time need different ones");
DEFINE_int32(daemons, 4, "number of daemons");
DEFINE_int32(workers, 8, "number of workers");
DEFINE_int32(task_slots, 8, "tasks that a worker can hold");
DEFINE_double(jobs_per_second, 12, "submissions a second");
DEFINE_int32(steps, 2, "most steps of a job");
DEFINE_int32(width, 6, "most tasks of a step");
DEFINE_int32(run_ms, 400, "mean run time of a task, in ms");
DEFINE_int32(payload_bytes, 200, "length of a job's payload, in bytes");
DEFINE_int32(seconds, 12, "length of the load, in seconds");
DEFINE_bool(approvals, false, "whether jobs need approvals");
DEFINE_bool(faults, true, "whether faults are injected");
DEFINE_int32(power_loss_ms, 0, "when all daemons lose power, in ms of the load; 0 for never");
DEFINE_double(late_write_share, 0.45, "share of the store's writes that stay unanswered and are carried out 1 to 6 s later, from 2 s before the loss of power to the end");
DEFINE_int32(backlog, 60, "jobs submitted at once, just before the loss of power");
DEFINE_int32(slow_lossy_ms, 0, "when the store gets slow and lossy, in ms of the load; 0 for not at a fixed time");
DEFINE_int32(slow_lossy_length_ms, 0, "length of that in ms; 0 for a random one");
DEFINE_int32(store_slowness, 0, "factor of all times of the slow and lossy store; 0 for a random one");
DEFINE_double(slow_lossy_late_share, 0, "share of the writes of the slow and lossy store that stay unanswered and are carried out 1 to 6 s later; 0 for a random one");
DEFINE_double(long_run_share, 0, "share of jobs, 0 to 1, whose tasks run for long_run_ms instead of run_ms");
DEFINE_int32(long_run_ms, 16'000, "mean run time of these tasks, in ms; each is up to an eighth shorter or longer");
DEFINE_int32(zone_cut_ms, 0, "when the leader and its companions are cut off from the other daemons and the store, and each worker from one of the sides, in ms of the load; 0 for never");
DEFINE_int32(zone_cut_length_ms, 22'000, "length of each cut, in ms");
DEFINE_int32(zone_cut_companions, 1, "daemons that are cut off together with the leader");
DEFINE_string(zone_cut_ways, "both", "ways that are closed: both, outbound (what the cut side sends is lost) or inbound (what is sent to it is lost)");
DEFINE_int32(zone_cuts, 1, "number of cuts, one after another");
DEFINE_bool(zone_cut_restart, false, "whether all daemons are killed and start again 2 to 6 s before each cut");
DEFINE_int32(store_down_ms, 0, "when the store goes down for all daemons, in ms of the load; 0 for not at a fixed time");
DEFINE_int32(store_down_length_ms, 10'000, "length of that, in ms");
DEFINE_bool(store_down_silent, false, "whether the store leaves calls unanswered while it is down, instead of refusing them");
DEFINE_bool(store_down_kill, false, "whether a daemon that does not lead is killed 1 s into that outage and starts again 6 s later");
DEFINE_int32(silence_ms, 0, "when some partitions of the store fall silent, in ms of the load; 0 for not at a fixed time");
DEFINE_int32(silence_length_ms, 10'000, "length of that, in ms");
DEFINE_string(silent_partitions, "", "partitions that fall silent, each as TOPIC/NUMBER, separated by commas");
DEFINE_double(silent_share, 0, "share of all partitions, 0 to 1, that fall silent too; the seed decides which");
DEFINE_int32(worker_connections, 0, "connections that a worker accepts from all daemons together, further ones are reset; 0 for no limit");
DEFINE_int32(leader_ends, 0, "how often the leader ends; it starts again 1.5 s later");
DEFINE_int32(leader_ends_ms, 2'000, "when it first ends, in ms of the load");
DEFINE_int32(leader_ends_interval_ms, 3'000, "time between two ends, in ms");
DEFINE_bool(leader_ends_by_power, false, "whether the leader loses power, so that its connections to the workers stay open for good, or else is killed; needs worker_connections");
DEFINE_int32(worker_crashes, 0, "how often a share of the workers crashes");
DEFINE_int32(worker_crashes_ms, 2'000, "when they first crash, in ms of the load");
DEFINE_int32(worker_crashes_interval_ms, 1'000, "time between two such crashes, in ms");
DEFINE_double(worker_crash_share, 0.3, "share of the workers that crash each time, 0 to 1; the seed decides which");
DEFINE_double(worker_crash_dark_share, 0, "share of those, 0 to 1, that leave calls unanswered while they are down; needs worker_connections");
DEFINE_int32(relay_from_workers, 1'000, "number of workers from which on orders go through peers");

namespace bulrushloft::soak {

namespace {

    constexpr Duration startTime { 1'500 }; ///< Time for the daemons to elect a leader before the load.
    constexpr Duration maxSettlingTime { 40'000 }; ///< After the load and the faults every accepted job must complete within this time.
    constexpr Duration finishTime { 14'000 }; ///< This long after the load no job may stand still although it could run; the platform's finish_s.
    constexpr std::uint16_t storePort = 7'500;
    constexpr std::uint16_t approvalsPort = 7'501;
    constexpr std::uint16_t clientsPort = 7'400;
    constexpr std::uint16_t readinessPort = 7'401;
    constexpr std::uint16_t peersPort = 7'402;
    constexpr std::uint16_t advertisedPort = 7'403;
    constexpr std::uint16_t daemonStorePort = 7'404;

    constexpr int workersNetwork = 10;

    std::string platformHost()
    {
        return "127." + std::to_string(FLAGS_network) + ".200.1";
    }

    std::string hostOf(int daemon)
    {
        return "127." + std::to_string(FLAGS_network) + ".201." + std::to_string(daemon + 1);
    }

    /** @return The operator's configuration of a version; each version adds a queue, so that callers can tell which one is in force. */
    std::string makeConfig(std::uint64_t version)
    {
        nlohmann::json routes = nlohmann::json::array();
        const auto addRoute = [&](const std::string& prefix) {
            nlohmann::json route { { "name", "route-" + prefix }, { "host", "h.example" }, { "path_prefix", "/" + prefix + "/" }, { "service", "pool" }, { "priority", 0 }, { "max_attempts", 3 }, { "slack_factor", 3 }, { "target_latency_ms", 1'000 }, { "timeout_ms", 3'000 } };
            if (FLAGS_approvals)
                route["advice"] = { { "decide_ms", 25 }, { "interval_ms", 0.5 }, { "valid_ms", 2'000 } };
            routes.push_back(std::move(route));
        };
        addRoute("q");
        addRoute("v" + std::to_string(version));
        return nlohmann::json({ { "version", version }, { "routes", routes }, { "services", { { { "name", "pool" }, { "admission_control", false } } } } }).dump();
    }

    CutWays cutWaysOf(const std::string& name)
    {
        if (name == "outbound")
            return CutWays::Outbound;
        return name == "inbound" ? CutWays::Inbound : CutWays::Both;
    }

    bool isCutWays(const char*, const std::string& name)
    {
        return name == "both" || name == "outbound" || name == "inbound";
    }

    /** @return The partitions in a list of TOPIC/NUMBER; nothing if it is malformed. */
    std::optional<std::set<StorePartition>> parsePartitions(const std::string& list)
    {
        std::set<StorePartition> partitions;
        std::istringstream stream(list);
        for (std::string item; std::getline(stream, item, ',');) {
            const std::size_t slash = item.rfind('/');
            std::uint32_t number = 0;
            const char* const end = item.data() + item.size();
            if (slash == std::string::npos || std::from_chars(item.data() + slash + 1, end, number).ptr != end)
                return std::nullopt;
            partitions.insert({ .m_topic = item.substr(0, slash), .m_partition = number });
        }
        return partitions;
    }

    bool isPartitionList(const char*, const std::string& list)
    {
        return parsePartitions(list).has_value();
    }

    /** One run of the soak. */
    class Soak {
    public:
        Soak(std::uint64_t seed, std::string directory)
            : m_seed(seed)
            , m_directory(std::move(directory))
            , m_store(m_platformLoop, seed)
            , m_workers(m_platformLoop, m_proxyLoop, m_store, { .m_pool = "pool", .m_count = FLAGS_workers, .m_network = workersNetwork + FLAGS_network, .m_cpuMilli = FLAGS_task_slots * 1'000, .m_taskCpuMilli = 1'000, .m_needsTickets = FLAGS_approvals, .m_connectionLimit = static_cast<std::size_t>(FLAGS_worker_connections) }, makeObserver(), seed + 1)
            , m_approvals(m_platformLoop, m_workers)
        {
        }

        /** @return Whether all promises were kept. */
        bool run();

    private:
        WorkerObserver makeObserver()
        {
            return { .m_onStart = [this](const std::string& worker, const TaskName& task, std::uint32_t attempt) { m_history.onStart(worker, static_cast<std::size_t>(FLAGS_task_slots), task, attempt); },
                .m_onEnd = [this](const std::string& worker, const TaskName& task, std::uint32_t attempt, AttemptEnd end) { m_history.onEnd(worker, task, attempt, end); },
                .m_onAck = [this](const std::string&, const EndedAttempt& end) { m_history.onAck(end); } };
        }

        bool startPlatform();
        void startDaemons();
        void settle();
        void checkServed(const std::vector<ServedWindow>& windows);
        void printResult();
        void printAppends();

        std::uint64_t m_seed;
        std::string m_directory;
        SoakHistory m_history;
        EventLoop m_platformLoop { "platform" };
        EventLoop m_clientLoop { "clients" };
        EventLoop m_proxyLoop { "proxies" };
        StandInStore m_store;
        StandInWorkers m_workers;
        StandInApprovals m_approvals;
        std::vector<SoakDaemon> m_daemons;
    };

    bool Soak::startPlatform()
    {
        for (const Expected<void>& listening : { m_store.listen({ platformHost(), storePort }), m_approvals.listen({ platformHost(), approvalsPort }), m_workers.listen() }) {
            if (listening)
                continue;
            std::cerr << "cell_soak: " << describe(listening.error()) << "\n";
            return false;
        }
        m_store.write("keyed.op", "config", makeConfig(1));
        return true;
    }

    void Soak::startDaemons()
    {
        std::string seeds;
        for (int i = 0; i < std::min(FLAGS_daemons, 3); ++i)
            seeds += (i > 0 ? ", \"" : "\"") + format(Address { hostOf(i), advertisedPort }) + "\"";
        for (int i = 0; i < FLAGS_daemons; ++i) {
            const Address store { hostOf(i), daemonStorePort };
            const Address peers { hostOf(i), peersPort };
            const Address advertised { hostOf(i), advertisedPort };
            SoakDaemon daemon;
            daemon.m_process = std::make_unique<DaemonProcess>(DaemonSetup { .m_program = FLAGS_daemon, .m_name = "n" + std::to_string(i + 1), .m_directory = m_directory, .m_clients = { hostOf(i), clientsPort }, .m_readiness = { hostOf(i), readinessPort }, .m_peers = peers, .m_advertisedPeers = advertised, .m_store = store, .m_approvals = { platformHost(), approvalsPort }, .m_seeds = seeds, .m_relayMinWorkers = FLAGS_relay_from_workers });
            daemon.m_storeProxy = std::make_unique<FaultProxy>(m_proxyLoop, store, Address { platformHost(), storePort });
            daemon.m_peerProxy = std::make_unique<FaultProxy>(m_proxyLoop, advertised, peers);
            for (const Expected<void>& listening : { daemon.m_storeProxy->listen(), daemon.m_peerProxy->listen() }) {
                if (!listening)
                    m_history.report("SETUP: " + describe(listening.error()));
            }
            daemon.m_process->start();
            m_daemons.push_back(std::move(daemon));
        }
    }

    void Soak::settle()
    {
        constexpr Duration pollInterval { 100 };
        const TimePoint loadEnd = steadyNow();
        bool isChecked = false;
        while (!m_history.openJobs().empty() && steadyNow() < loadEnd + maxSettlingTime) {
            if (steadyNow() >= loadEnd + finishTime && !std::exchange(isChecked, true))
                std::cout << "  after " << finishTime.m_ms << " ms: " << m_history.checkStandstill(static_cast<std::size_t>(FLAGS_workers) * static_cast<std::size_t>(FLAGS_task_slots)) << std::endl;
            std::this_thread::sleep_for(std::chrono::milliseconds(pollInterval.m_ms));
        }
        m_history.finish();
    }

    void Soak::checkServed(const std::vector<ServedWindow>& windows)
    {
        constexpr Duration answerTime { 3'500 }; ///< A client gives up a submission 3 s after it.
        for (const ServedWindow& window : windows) {
            while (steadyNow() < window.m_until + answerTime)
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            m_history.checkServed(window.m_from, window.m_until);
        }
    }

    void Soak::printAppends()
    {
        std::promise<std::map<StorePartition, test::PartitionQueue>> promise;
        m_platformLoop.post([&] { promise.set_value(m_store.queues()); });
        std::map<StorePartition, test::PartitionQueue> queues = promise.get_future().get();
        for (auto& [partition, queue] : queues) {
            const std::int64_t now = steadyNow().m_ms;
            const test::PartitionCounts& counts = queue.counts(now);
            std::cout << "  appends to " << partition.m_topic << "/" << partition.m_partition << ": sent " << counts.m_sent << ", carried out " << counts.m_done << ", refused " << counts.m_refused << ", late " << counts.m_late
                      << ", waiting now " << queue.waitingTime(now) << " ms, longest wait " << counts.m_longestWaitMs << " ms\n";
        }
        std::promise<std::map<StorePartition, std::uint64_t>> unanswered;
        m_platformLoop.post([&] { unanswered.set_value(m_store.unansweredCalls()); });
        for (const auto& [partition, calls] : unanswered.get_future().get())
            std::cout << "  unanswered calls while silent, " << partition.m_topic << "/" << partition.m_partition << ": " << calls << "\n";
    }

    void Soak::printResult()
    {
        printAppends();
        std::uint64_t overLimit = 0;
        for (const FaultProxy* const proxy : m_workers.proxies())
            overLimit += proxy->countOverLimit();
        if (FLAGS_worker_connections > 0)
            std::cout << "  connections reset by full workers: " << overLimit << "\n";
        const SoakCounts counts = m_history.counts();
        std::cout << "seed " << m_seed << ": submitted " << counts.m_submitted << ", accepted " << counts.m_accepted << ", refused " << counts.m_refused << ", unknown " << counts.m_unknown << ", cancelled " << counts.m_cancelled
                  << ", complete " << counts.m_complete << ", starts " << counts.m_starts << ", lapsed " << counts.m_lapsed << ", stopped " << counts.m_stopped << ", queries " << counts.m_queries << "; logs in " << m_directory << "\n";
        for (const std::string& violation : m_history.violations())
            std::cout << "seed " << m_seed << " BROKEN " << violation << "\n";
    }

    bool Soak::run()
    {
        if (!startPlatform())
            return false;
        startDaemons();
        std::this_thread::sleep_for(std::chrono::milliseconds(startTime.m_ms));
        ClientLoad load { .m_entries = {}, .m_jobsPerSecond = FLAGS_jobs_per_second, .m_maxSteps = static_cast<std::uint32_t>(FLAGS_steps), .m_maxWidth = static_cast<std::uint32_t>(FLAGS_width), .m_runTime = { FLAGS_run_ms }, .m_longRunShare = FLAGS_long_run_share, .m_longRunTime = { FLAGS_long_run_ms }, .m_payloadBytes = static_cast<std::size_t>(FLAGS_payload_bytes) };
        for (const SoakDaemon& daemon : m_daemons)
            load.m_entries.push_back(daemon.m_process->setup().m_clients);
        SoakClients clients(m_clientLoop, load, m_history, m_seed + 2);
        FaultInjector faults({ .m_platformLoop = m_platformLoop, .m_store = m_store, .m_workers = m_workers, .m_daemons = m_daemons, .m_clients = clients, .m_history = m_history, .m_workerCount = FLAGS_workers, .m_makeConfig = makeConfig }, m_seed + 3);
        clients.start();
        const Duration length { FLAGS_seconds * 1'000 };
        if (FLAGS_power_loss_ms > 0)
            faults.schedulePowerLoss({ FLAGS_power_loss_ms }, FLAGS_backlog, FLAGS_late_write_share);
        if (FLAGS_slow_lossy_ms > 0)
            faults.scheduleSlowLossyStore({ .m_at = { FLAGS_slow_lossy_ms }, .m_length = { FLAGS_slow_lossy_length_ms }, .m_slowness = FLAGS_store_slowness, .m_lateShare = FLAGS_slow_lossy_late_share });
        if (FLAGS_zone_cut_ms > 0)
            faults.scheduleZoneCuts({ .m_at = { FLAGS_zone_cut_ms }, .m_length = { FLAGS_zone_cut_length_ms }, .m_companions = FLAGS_zone_cut_companions, .m_ways = cutWaysOf(FLAGS_zone_cut_ways), .m_count = FLAGS_zone_cuts, .m_hasRestart = FLAGS_zone_cut_restart });
        if (FLAGS_store_down_ms > 0)
            faults.scheduleStoreDown({ .m_at = { FLAGS_store_down_ms }, .m_length = { FLAGS_store_down_length_ms }, .m_isSilent = FLAGS_store_down_silent, .m_hasKill = FLAGS_store_down_kill });
        if (FLAGS_silence_ms > 0)
            faults.scheduleSilentPartitions({ .m_at = { FLAGS_silence_ms }, .m_length = { FLAGS_silence_length_ms }, .m_partitions = *parsePartitions(FLAGS_silent_partitions), .m_share = FLAGS_silent_share });
        if (FLAGS_leader_ends > 0)
            faults.scheduleLeaderEnds({ .m_at = { FLAGS_leader_ends_ms }, .m_count = FLAGS_leader_ends, .m_interval = { FLAGS_leader_ends_interval_ms }, .m_isPowerLoss = FLAGS_leader_ends_by_power });
        if (FLAGS_worker_crashes > 0)
            faults.scheduleWorkerCrashes({ .m_at = { FLAGS_worker_crashes_ms }, .m_count = FLAGS_worker_crashes, .m_interval = { FLAGS_worker_crashes_interval_ms }, .m_share = FLAGS_worker_crash_share, .m_darkShare = FLAGS_worker_crash_dark_share });
        const bool hasScheduledFaults = FLAGS_leader_ends > 0 || FLAGS_worker_crashes > 0 || FLAGS_power_loss_ms > 0 || FLAGS_slow_lossy_ms > 0 || FLAGS_zone_cut_ms > 0 || FLAGS_store_down_ms > 0 || FLAGS_silence_ms > 0;
        if (FLAGS_faults || hasScheduledFaults)
            faults.run(length, FLAGS_faults);
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(length.m_ms));
        clients.stop();
        settle();
        checkServed(faults.servedWindows());
        printResult();
        const bool isKept = m_history.violations().empty();
        m_daemons.clear(); // Ends the processes before their platform goes.
        m_clientLoop.stop();
        m_proxyLoop.stop();
        m_platformLoop.stop();
        return isKept;
    }

} // namespace

} // namespace bulrushloft::soak

int main(int argc, char** argv)
{
    using namespace bulrushloft::soak;
    gflags::SetUsageMessage("runs daemons on loopback under random faults and checks what callers and workers see");
    gflags::RegisterFlagValidator(&FLAGS_zone_cut_ways, &isCutWays);
    gflags::RegisterFlagValidator(&FLAGS_silent_partitions, &isPartitionList);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string root = FLAGS_directory.empty() ? (std::filesystem::temp_directory_path() / ("cell_soak." + std::to_string(getpid()))).string() : FLAGS_directory;
    std::uint64_t failed = 0;
    for (std::uint64_t i = 0; i < FLAGS_runs; ++i) {
        const std::string directory = root + "/seed-" + std::to_string(FLAGS_seed + i);
        std::filesystem::create_directories(directory);
        failed += Soak(FLAGS_seed + i, directory).run() ? 0 : 1;
    }
    std::cout << FLAGS_runs << " runs from seed " << FLAGS_seed << ", " << failed << " with broken promises\n";
    return failed == 0 ? 0 : 1;
}
