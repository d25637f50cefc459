/** @file soak_faults.cpp Random faults, their ends, and the checks of configuration, drained processes and unexpected exits. */
#include "soak_faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <future>
#include <iostream>
#include <thread>

#include <sys/wait.h>

namespace bulrushloft::soak {

namespace {

    constexpr Duration tickLength { 20 };
    constexpr Duration afterFault { 3'000 }; ///< After a fault, bounds in time do not hold for so long.
    constexpr Duration configLimit { 2'000 }; ///< A configuration is in force within this time at an undisturbed daemon.
    constexpr Duration terminationLimit { 6'000 }; ///< Grace between SIGTERM and SIGKILL.
    constexpr Duration configCheckInterval { 400 };
    constexpr Duration queueLimitFrom { 1'000 }; ///< So long after the store is sound, the bound on waiting appends begins to hold.
    constexpr Duration queueLimit { 3'000 }; ///< Most work that a partition of a sound store may have waiting.
    constexpr Duration servedFrom { 4'000 }; ///< So long after the store is sound, submissions must be accepted.
    constexpr Duration servedLength { 5'000 }; ///< For how long submissions are observed from then on.
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusOk = 200;

} // namespace

FaultInjector::FaultInjector(const FaultTargets& targets, std::uint64_t seed)
    : m_targets(targets)
    , m_random(seed)
    , m_probeClient(m_probeLoop, { .m_connectionsPerAddress = 4, .m_connectTimeout = { 300 } })
{
}

void FaultInjector::disturb(SoakDaemon& daemon, Duration length)
{
    daemon.m_disturbedUntil = std::max(daemon.m_disturbedUntil, steadyNow() + length + afterFault);
}

void FaultInjector::disturbAll(Duration length)
{
    for (SoakDaemon& daemon : m_targets.m_daemons)
        disturb(daemon, length);
}

void FaultInjector::applyStoreFaults()
{
    constexpr Duration shortLateness { 4'000 };
    constexpr Duration longLateness { 6'000 };
    m_storeFaults.m_lateAppendShare = std::max({ m_lastingLateShare, m_lossyLateShare, m_slowLossyLateShare });
    m_storeFaults.m_longestLateness = m_lastingLateShare > 0 || m_slowLossyLateShare > 0 ? longLateness : shortLateness;
    onPlatform([this, faults = m_storeFaults] { m_targets.m_store.setFaults(faults); });
}

void FaultInjector::inject(Kind kind)
{
    const TimePoint now = steadyNow();
    const Duration length { randomBetween(500, 4'000) };
    SoakDaemon& daemon = anyDaemon();
    const auto endAfter = [&](std::function<void()> action) { m_ends.push_back({ now + length, std::move(action) }); };
    const int worker = static_cast<int>(randomBetween(0, m_targets.m_workerCount - 1));
    std::cout << "  fault " << static_cast<int>(kind) << " for " << length.m_ms << " ms at " << daemon.m_process->setup().m_name << std::endl;
    switch (kind) {
    case Kind::Kill:
        daemon.m_isEndExpected = true;
        daemon.m_process->signal(SIGKILL);
        daemon.m_restartAt = now + Duration { randomBetween(200, 2'000) };
        return disturb(daemon, length);
    case Kind::Terminate:
        if (daemon.m_resumeAt.m_ms > 0)
            return;
        daemon.m_isEndExpected = true;
        daemon.m_process->signal(SIGTERM);
        daemon.m_restartAt = now + terminationLimit;
        return disturb(daemon, terminationLimit);
    case Kind::Suspend:
        daemon.m_process->signal(SIGSTOP);
        daemon.m_resumeAt = now + length;
        return disturb(daemon, length);
    case Kind::Reload:
        return daemon.m_process->signal(SIGHUP);
    case Kind::StorePath:
    case Kind::PeerPath: {
        FaultProxy* const proxy = kind == Kind::StorePath ? daemon.m_storeProxy.get() : daemon.m_peerProxy.get();
        const std::array modes { ProxyMode::Delay, ProxyMode::Silence, ProxyMode::SilenceAnswers, ProxyMode::Refuse };
        proxy->setMode(modes[static_cast<std::size_t>(randomBetween(0, 3))], { randomBetween(50, 600) });
        disturb(daemon, length);
        return endAfter([proxy] { proxy->setMode(ProxyMode::Pass); });
    }
    case Kind::ResetConnections:
        daemon.m_storeProxy->resetConnections();
        daemon.m_peerProxy->resetConnections();
        return disturb(daemon, {});
    case Kind::StoreDown:
        m_storeFaults.m_isDown = true;
        m_storeFaults.m_isSilent = randomBetween(0, 1) == 1;
        applyStoreFaults();
        disturbAll(length);
        return endAfter([this] { m_storeFaults.m_isDown = false; applyStoreFaults(); });
    case Kind::StoreSlow:
        m_storeFaults.m_delay = { randomBetween(50, 700) };
        applyStoreFaults();
        disturbAll(length);
        return endAfter([this] { m_storeFaults.m_delay = {}; applyStoreFaults(); });
    case Kind::StoreLossy:
        m_storeFaults.m_lostAnswerShare = 0.3;
        m_lossyLateShare = 0.1;
        applyStoreFaults();
        disturbAll(length + Duration { 4'000 });
        return endAfter([this] { m_storeFaults.m_lostAnswerShare = 0; m_lossyLateShare = 0; applyStoreFaults(); });
    case Kind::StoreSlowAndLossy:
        return beginSlowLossyStore({});
    case Kind::Compact:
        return onPlatform([this] { m_targets.m_store.compact(); });
    case Kind::WorkerCrash:
        return onPlatform([this, worker, length] { m_targets.m_workers.crash(worker, length); });
    case Kind::WorkerSilent:
        return onPlatform([this, worker, length] { m_targets.m_workers.silence(worker, length * 2); });
    case Kind::LateOrders:
        onPlatform([this] { m_targets.m_workers.setLateOrderShare(0.1); });
        return endAfter([this] { onPlatform([this] { m_targets.m_workers.setLateOrderShare(0); }); });
    case Kind::KillAll:
        killAll({ 200 }, { 800 });
        return disturbAll(length);
    case Kind::SilentPartitions:
        return beginSilence({ .m_at = {}, .m_length = length, .m_partitions = {}, .m_share = std::uniform_real_distribution<double>(0.2, 0.6)(m_random) });
    case Kind::ChangeConfig:
    case Kind::KindCount:
        ++m_configVersion;
        m_configWrittenAt = now;
        return onPlatform([this, text = m_targets.m_makeConfig(m_configVersion)] { m_targets.m_store.write("keyed.op", "config", text); });
    }
}

FaultInjector::Kind FaultInjector::drawKind()
{
    if (m_slowLossyPhase == SlowLossyPhase::Overlapped) {
        const std::array kinds { Kind::Kill, Kind::Terminate, Kind::Suspend, Kind::Reload, Kind::KillAll };
        return kinds[static_cast<std::size_t>(randomBetween(0, kinds.size() - 1))];
    }
    return static_cast<Kind>(randomBetween(0, static_cast<std::int64_t>(Kind::KindCount) - 1));
}

void FaultInjector::scheduleSlowLossyStore(const SlowLossyStore& fault)
{
    m_ends.push_back({ steadyNow() + fault.m_at, [this, fault] { beginSlowLossyStore(fault); } });
}

void FaultInjector::beginSlowLossyStore(const SlowLossyStore& fault)
{
    constexpr Duration longestLateness { 6'000 };
    constexpr int shareOfAlone = 3; ///< One in so many is played without further faults.
    if (m_slowLossyLateShare > 0)
        return; // One that was drawn is still in force.
    const Duration length = fault.m_length.m_ms > 0 ? fault.m_length : Duration { randomBetween(4'000, 14'000) };
    m_storeFaults.m_slowness = fault.m_slowness > 0 ? fault.m_slowness : static_cast<int>(randomBetween(10, 60));
    m_slowLossyLateShare = fault.m_lateShare > 0 ? fault.m_lateShare : std::uniform_real_distribution<double>(0.1, 0.45)(m_random);
    m_slowLossyPhase = randomBetween(1, shareOfAlone) == 1 ? SlowLossyPhase::Alone : SlowLossyPhase::Overlapped;
    std::cout << "  store slow by " << m_storeFaults.m_slowness << " with " << m_slowLossyLateShare << " of the appends late for " << length.m_ms << " ms" << std::endl;
    applyStoreFaults();
    disturbAll(length + longestLateness);
    m_ends.push_back({ steadyNow() + length, [this] { endSlowLossyStore(); } });
}

void FaultInjector::endSlowLossyStore()
{
    std::cout << "  store sound" << std::endl;
    m_storeFaults.m_slowness = 1;
    m_slowLossyLateShare = 0;
    applyStoreFaults();
    const bool isSound = m_lastingLateShare == 0;
    m_slowLossyPhase = isSound ? SlowLossyPhase::Recovery : SlowLossyPhase::None;
    m_storeSoundAt = steadyNow();
    if (isSound)
        onPlatform([this] { m_targets.m_platformLoop.runAfter(queueLimitFrom, [this] { m_targets.m_store.watchWaits(); }); });
}

void FaultInjector::observeRecovery(TimePoint now, bool isCalm)
{
    if (m_slowLossyPhase != SlowLossyPhase::Recovery || !isCalm)
        return;
    const TimePoint from = std::max(m_storeSoundAt, m_lastResumedAt) + servedFrom;
    if (now < from + servedLength)
        return;
    m_servedWindows.push_back({ .m_from = from, .m_until = from + servedLength });
    m_slowLossyPhase = SlowLossyPhase::None;
    onPlatform([this] { checkQueues(); });
}

void FaultInjector::checkQueues()
{
    for (auto& [partition, queue] : m_targets.m_store.queues()) {
        const std::int64_t longestWaitMs = queue.counts(steadyNow().m_ms).m_longestWatchedWaitMs;
        if (longestWaitMs > queueLimit.m_ms)
            m_targets.m_history.report("QUEUE: partition " + std::to_string(partition.m_partition) + " of " + partition.m_topic + " has " + std::to_string(longestWaitMs) + " ms of appends waiting although the store has been sound for 1 s");
    }
}

void FaultInjector::killAll(Duration shortestDownTime, Duration longestDownTime)
{
    for (SoakDaemon& daemon : m_targets.m_daemons) {
        daemon.m_isEndExpected = true;
        daemon.m_process->signal(SIGKILL);
        daemon.m_restartAt = steadyNow() + Duration { randomBetween(shortestDownTime.m_ms, longestDownTime.m_ms) };
    }
}

void FaultInjector::schedulePowerLoss(Duration at, int backlog, double lateShare)
{
    constexpr Duration lossyBefore { 2'000 };
    constexpr Duration backlogBefore { 500 };
    constexpr Duration downTime { 1'300 };
    constexpr Duration untilEnd { 600'000 };
    const TimePoint lostAt = steadyNow() + at;
    m_ends.push_back({ lostAt - lossyBefore, [this, lateShare, untilEnd] {
                          m_lastingLateShare = lateShare;
                          applyStoreFaults();
                          if (lateShare > 0)
                              disturbAll(untilEnd);
                      } });
    m_ends.push_back({ lostAt - backlogBefore, [this, backlog] { m_targets.m_clients.submitBacklog(backlog); } });
    m_ends.push_back({ lostAt, [this, downTime] {
                          std::cout << "  power lost" << std::endl;
                          killAll(downTime, downTime);
                          disturbAll(downTime);
                      } });
}

void FaultInjector::scheduleZoneCuts(const ZoneCut& fault)
{
    constexpr Duration pause { 8'000 }; ///< Time from the end of a cut to the next one; the restart before it is within this time.
    TimePoint at = steadyNow() + fault.m_at;
    for (int i = 0; i < fault.m_count; ++i) {
        if (fault.m_hasRestart) {
            m_ends.push_back({ at - Duration { randomBetween(2'000, 6'000) }, [this] {
                                  std::cout << "  all daemons are killed" << std::endl;
                                  killAll({ 200 }, { 800 });
                                  disturbAll({});
                              } });
        }
        m_ends.push_back({ at, [this, fault] { beginZoneCut(fault); } });
        m_ends.push_back({ at + fault.m_length, [this] { endZoneCut(); } });
        at = at + fault.m_length + pause;
    }
}

std::vector<bool> FaultInjector::drawCutSide(int companions)
{
    std::promise<std::string> promise;
    onPlatform([&] { promise.set_value(m_targets.m_store.claimantOf(m_targets.m_store.newestToken())); });
    const std::string leader = promise.get_future().get();
    std::vector<std::size_t> others;
    std::vector<bool> isCut(m_targets.m_daemons.size());
    for (std::size_t i = 0; i < isCut.size(); ++i) {
        isCut[i] = m_targets.m_daemons[i].m_process->setup().m_name == leader;
        if (!isCut[i])
            others.push_back(i);
    }
    if (others.size() == isCut.size())
        return {};
    std::shuffle(others.begin(), others.end(), m_random);
    for (std::size_t i = 0; i < std::min(others.size(), static_cast<std::size_t>(companions)); ++i)
        isCut[others[i]] = true;
    return isCut;
}

PathCut FaultInjector::makePeerCut(std::size_t called, const std::vector<bool>& isCut, CutWays ways) const
{
    return [this, called, isCut, ways](const ConnectionEnds& ends) -> PathLoss {
        std::vector<pid_t> processes;
        for (const SoakDaemon& daemon : m_targets.m_daemons)
            processes.push_back(daemon.m_process->pid());
        const std::optional<std::size_t> caller = findConnectionOwner(ends, processes);
        if (!caller)
            return { .m_areRequestsLost = true, .m_areAnswersLost = true }; // Its process has closed the connection or has ended.
        if (isCut[*caller] == isCut[called])
            return {};
        const CutWays openWays = isCut[*caller] ? CutWays::Inbound : CutWays::Outbound; // With only these closed, the request arrives.
        const CutWays openAnswers = isCut[*caller] ? CutWays::Outbound : CutWays::Inbound;
        return { .m_areRequestsLost = ways != openWays, .m_areAnswersLost = ways != openAnswers };
    };
}

void FaultInjector::beginZoneCut(const ZoneCut& fault)
{
    const std::vector<bool> isCut = drawCutSide(fault.m_companions);
    if (isCut.empty())
        return m_targets.m_history.report("SETUP: no daemon leads when the zone is cut");
    std::set<std::string> names;
    for (std::size_t i = 0; i < isCut.size(); ++i) {
        SoakDaemon& daemon = m_targets.m_daemons[i];
        daemon.m_peerProxy->setCut(makePeerCut(i, isCut, fault.m_ways));
        if (!isCut[i])
            continue;
        names.insert(daemon.m_process->setup().m_name);
        const PathLoss loss { .m_areRequestsLost = fault.m_ways != CutWays::Inbound, .m_areAnswersLost = fault.m_ways != CutWays::Outbound };
        daemon.m_storeProxy->setCut([loss](const ConnectionEnds&) { return loss; });
    }
    std::cout << "  cut off for " << fault.m_length.m_ms << " ms:";
    for (const std::string& name : names)
        std::cout << " " << name;
    std::cout << std::endl;
    onPlatform([this, names] { m_targets.m_workers.cut(names); });
    disturbAll(fault.m_length);
}

void FaultInjector::endZoneCut()
{
    std::cout << "  cut over" << std::endl;
    for (SoakDaemon& daemon : m_targets.m_daemons) {
        daemon.m_peerProxy->setCut({});
        daemon.m_storeProxy->setCut({});
    }
    onPlatform([this] { m_targets.m_workers.cut({}); });
}

void FaultInjector::killFollower()
{
    constexpr Duration downTime { 6'000 };
    const std::vector<bool> isLeader = drawCutSide(0);
    const auto follower = std::find(isLeader.begin(), isLeader.end(), false);
    if (follower == isLeader.end())
        return m_targets.m_history.report("SETUP: no daemon leads when a follower is killed");
    SoakDaemon& daemon = m_targets.m_daemons[static_cast<std::size_t>(follower - isLeader.begin())];
    std::cout << "  " << daemon.m_process->setup().m_name << " is killed" << std::endl;
    daemon.m_isEndExpected = true;
    daemon.m_process->signal(SIGKILL);
    daemon.m_restartAt = steadyNow() + downTime;
    disturb(daemon, downTime);
}

void FaultInjector::scheduleStoreDown(const StoreOutage& fault)
{
    constexpr Duration untilKill { 1'000 };
    const TimePoint from = steadyNow() + fault.m_at;
    const auto setDown = [this, isSilent = fault.m_isSilent](bool isDown) {
        std::cout << "  store " << (isDown ? "down" : "up") << std::endl;
        m_storeFaults.m_isDown = isDown;
        m_storeFaults.m_isSilent = isSilent;
        applyStoreFaults();
    };
    m_ends.push_back({ from, [this, setDown, length = fault.m_length] {
                          setDown(true);
                          disturbAll(length);
                      } });
    m_ends.push_back({ from + fault.m_length, [setDown] { setDown(false); } });
    if (fault.m_hasKill)
        m_ends.push_back({ from + untilKill, [this] { killFollower(); } });
}

void FaultInjector::endDue(TimePoint now)
{
    std::vector<End> due;
    std::erase_if(m_ends, [&](const End& end) {
        if (now < end.m_at)
            return false;
        due.push_back(end);
        return true;
    });
    for (const End& end : due)
        end.m_action();
}

void FaultInjector::superviseProcesses(TimePoint now)
{
    for (SoakDaemon& daemon : m_targets.m_daemons) {
        if (daemon.m_resumeAt.m_ms > 0 && now >= daemon.m_resumeAt) {
            daemon.m_process->signal(SIGCONT);
            daemon.m_resumeAt = {};
            m_lastResumedAt = now;
            disturb(daemon, {});
        }
        const bool isRunning = daemon.m_process->isRunning();
        if (!isRunning && !daemon.m_isEndExpected)
            m_targets.m_history.report("EXIT: daemon " + daemon.m_process->setup().m_name + " has ended by itself with status " + std::to_string(daemon.m_process->exitStatus()));
        if (!isRunning && daemon.m_isEndExpected && daemon.m_process->exitStatus() != 0 && WIFEXITED(daemon.m_process->exitStatus()))
            m_targets.m_history.report("EXIT: daemon " + daemon.m_process->setup().m_name + " has ended with status " + std::to_string(WEXITSTATUS(daemon.m_process->exitStatus())));
        if (isRunning && daemon.m_restartAt.m_ms > 0 && now >= daemon.m_restartAt)
            daemon.m_process->signal(SIGKILL);
        if (isRunning || now < daemon.m_restartAt)
            continue;
        daemon.m_restartAt = {};
        daemon.m_resumeAt = {};
        daemon.m_isEndExpected = false;
        daemon.m_configSeen = 0;
        disturb(daemon, {});
        daemon.m_process->start();
        m_lastResumedAt = now;
    }
}

void FaultInjector::checkConfig(TimePoint now)
{
    if (now < m_nextConfigCheckAt)
        return;
    m_nextConfigCheckAt = now + configCheckInterval;
    for (SoakDaemon& daemon : m_targets.m_daemons) {
        endDue(steadyNow()); // Each probe can take its whole time-out; faults end on time all the same.
        if (daemon.m_restartAt.m_ms > 0 || daemon.m_resumeAt.m_ms > 0)
            continue;
        const std::uint64_t version = m_configVersion;
        const bool isDue = now - m_configWrittenAt > configLimit && now >= daemon.m_disturbedUntil;
        HttpCall call { .m_address = daemon.m_process->setup().m_clients, .m_request = { .m_method = "GET", .m_target = "/v" + std::to_string(version) + "/", .m_headers = { { "Host", "h.example" } }, .m_body = nullptr }, .m_timeout = { 1'500 } };
        const HttpResult result = sendAndWait(m_probeClient, std::move(call));
        if (!result)
            continue;
        const std::string name = daemon.m_process->setup().m_name;
        if (result->m_status == statusNotFound && daemon.m_configSeen >= version)
            m_targets.m_history.report("CONFIG: daemon " + name + " has gone back behind version " + std::to_string(version));
        if (result->m_status == statusNotFound && isDue)
            m_targets.m_history.report("CONFIG: daemon " + name + " does not use version " + std::to_string(version) + " after " + std::to_string((now - m_configWrittenAt).m_ms) + " ms");
        if (result->m_status == statusOk)
            daemon.m_configSeen = std::max(daemon.m_configSeen, version);
    }
}

void FaultInjector::run(Duration length, bool hasRandomFaults)
{
    const TimePoint end = steadyNow() + length;
    TimePoint nextFaultAt = steadyNow() + Duration { 500 };
    const auto isCalm = [&] {
        return m_ends.empty() && std::none_of(m_targets.m_daemons.begin(), m_targets.m_daemons.end(), [](const SoakDaemon& daemon) { return daemon.m_restartAt.m_ms > 0 || daemon.m_resumeAt.m_ms > 0; });
    };
    const auto allowsFaults = [&] { return hasRandomFaults && m_slowLossyPhase != SlowLossyPhase::Alone && m_slowLossyPhase != SlowLossyPhase::Recovery; };
    for (TimePoint now = steadyNow(); now < end || !isCalm() || m_slowLossyPhase != SlowLossyPhase::None; now = steadyNow()) {
        if (allowsFaults() && now >= nextFaultAt && (now < end || m_slowLossyPhase == SlowLossyPhase::Overlapped)) {
            inject(drawKind());
            nextFaultAt = now + Duration { randomBetween(200, 1'800) };
        }
        endDue(now);
        superviseProcesses(now);
        observeRecovery(now, isCalm());
        checkConfig(now);
        const bool isDisturbed = std::any_of(m_targets.m_daemons.begin(), m_targets.m_daemons.end(), [&](const SoakDaemon& daemon) { return now < daemon.m_disturbedUntil; });
        m_targets.m_clients.setDisturbed(isDisturbed);
        std::this_thread::sleep_for(std::chrono::milliseconds(tickLength.m_ms));
    }
}

} // namespace bulrushloft::soak
