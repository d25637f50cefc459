/** @file metrics.cpp Implements the metrics with prometheus-cpp. */
#include "process/node/metrics.h"

#include "core/invariant.h"
#include "process/node/member_func.h"

#include <sstream>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace bulrushloft {

namespace {

    using prometheus::Family;
    using prometheus::Gauge;
    using prometheus::Histogram;

    const Histogram::BucketBoundaries durationBuckets { 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.3, 2.5, 5, 10, 30, 60, 300, 1800 };
    const Histogram::BucketBoundaries decisionBuckets { 1e-6, 2e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 2e-4, 5e-4, 1e-3, 2e-3, 5e-3, 1e-2 };

    double processorSeconds()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        const auto seconds = [](const timeval& time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
        return seconds(usage.ru_utime) + seconds(usage.ru_stime);
    }

    double residentBytes()
    {
        std::ifstream file("/proc/self/statm");
        std::uint64_t pages = 0;
        std::uint64_t resident = 0;
        file >> pages >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

} // namespace

struct Metrics::Impl {
    prometheus::Registry m_registry;
    Family<Histogram>& m_taskWait = prometheus::BuildHistogram().Name("bulrush_task_wait_seconds").Help("From acceptance or loss of the last attempt to the confirmed start").Register(m_registry);
    Family<Histogram>& m_taskRun = prometheus::BuildHistogram().Name("bulrush_task_run_seconds").Help("From the confirmed start to the end").Register(m_registry);
    Family<Histogram>& m_requestWait = prometheus::BuildHistogram().Name("bulrush_request_wait_seconds").Help("From the arrival of a request to its dispatch").Register(m_registry);
    Family<Histogram>& m_requestRun = prometheus::BuildHistogram().Name("bulrush_request_run_seconds").Help("From the dispatch of a request to its answer").Register(m_registry);
    Family<Histogram>& m_decision = prometheus::BuildHistogram().Name("bulrush_decision_seconds").Help("Time of one placement decision, mean over a pass").Register(m_registry);
    Family<Gauge>& m_granted = prometheus::BuildGauge().Name("bulrush_pool_granted").Help("Granted amount by shard and dimension").Register(m_registry);
    Family<Gauge>& m_offered = prometheus::BuildGauge().Name("bulrush_pool_offered").Help("Capacity of the adopted workers by shard and dimension").Register(m_registry);
    Family<Gauge>& m_shard = prometheus::BuildGauge().Name("bulrush_shard").Help("Counts by shard").Register(m_registry);
    Family<Gauge>& m_daemon = prometheus::BuildGauge().Name("bulrush_daemon").Help("Figures of this daemon").Register(m_registry);
    Family<Gauge>& m_cost = prometheus::BuildGauge().Name("bulrush_control_cost").Help("Processor seconds, resident bytes and bytes sent by this daemon").Register(m_registry);

    Family<Histogram>& familyOf(ObservedSpan span)
    {
        switch (span) {
        case ObservedSpan::TaskWait:
            return m_taskWait;
        case ObservedSpan::TaskRun:
            return m_taskRun;
        case ObservedSpan::RequestWait:
            return m_requestWait;
        case ObservedSpan::RequestRun:
            return m_requestRun;
        case ObservedSpan::Decision:
            return m_decision;
        }
        return m_decision;
    }

    void setAmounts(Family<Gauge>& family, const std::string& shard, const Resources& amounts)
    {
        family.Add({ { "shard", shard }, { "dimension", "cpu_milli" } }).Set(static_cast<double>(amounts.m_cpuMilli));
        family.Add({ { "shard", shard }, { "dimension", "memory_mb" } }).Set(static_cast<double>(amounts.m_memoryMb));
        family.Add({ { "shard", shard }, { "dimension", "gpus" } }).Set(static_cast<double>(amounts.m_gpus));
    }

    template <typename Number>
    void setShard(const std::string& shard, const std::string& figure, Number value)
    {
        m_shard.Add({ { "shard", shard }, { "figure", figure } }).Set(static_cast<double>(value));
    }

    template <typename Number>
    void setDaemon(const std::string& figure, Number value)
    {
        m_daemon.Add({ { "figure", figure } }).Set(static_cast<double>(value));
    }

    void updateOwner(const ShardOwner& owner)
    {
        const std::string& shard = owner.m_state.m_shard;
        Resources granted;
        Resources offered;
        std::size_t adopted = 0;
        for (const Worker& worker : owner.m_workers) {
            granted = granted + worker.m_granted;
            if (worker.m_link != LinkState::Adopted)
                continue;
            offered = offered + worker.m_capacity;
            ++adopted;
        }
        setAmounts(m_granted, shard, granted);
        setAmounts(m_offered, shard, offered);
        std::size_t queued = 0;
        for (const auto& [number, job] : owner.m_queue)
            queued += job.m_tasks.size();
        setShard(shard, "workers_adopted", adopted);
        setShard(shard, "tasks_queued", queued);
        setShard(shard, "tasks_on_workers", owner.m_runs.size());
        setShard(shard, "jobs_known", owner.m_state.m_jobs.size());
        setShard(shard, "requests_queued", owner.m_queuedRequests);
        setShard(shard, "epoch", owner.m_state.m_epoch.m_value);
        setShard(shard, "placements_total", owner.m_counters.m_placements);
        setShard(shard, "dispatches_total", owner.m_counters.m_dispatches);
        setShard(shard, "appends_total", owner.m_counters.m_appends);
        setShard(shard, "shed_total", owner.m_counters.m_shed);
        setShard(shard, "preemptions_total", owner.m_counters.m_preemptions);
        setShard(shard, "orphans_total", owner.m_counters.m_orphans);
        setShard(shard, "append_out", owner.m_append ? 1 : 0);
    }
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::observe(std::vector<Observation>& observations)
{
    for (const Observation& observation : observations) {
        const bool isDecision = observation.m_span == ObservedSpan::Decision;
        const prometheus::Labels labels = isDecision ? prometheus::Labels {} : prometheus::Labels { { "team", observation.m_team }, { "class", observation.m_workClass } };
        m_impl->familyOf(observation.m_span).Add(labels, isDecision ? decisionBuckets : durationBuckets).Observe(observation.m_seconds);
    }
    observations.clear();
}

void Metrics::update(const Node& node)
{
    std::size_t owned = 0;
    for (const auto& [name, slot] : node.m_shards) {
        if (!slot.m_owner)
            continue;
        ++owned;
        m_impl->updateOwner(*slot.m_owner);
    }
    const TimePoint now = steadyNow();
    std::size_t alive = 0;
    for (const auto& [name, member] : node.m_members)
        alive += isAlive(member, now) ? 1 : 0;
    m_impl->setDaemon("shards_owned", owned);
    m_impl->setDaemon("members_alive", alive);
    m_impl->setDaemon("settings_version", node.m_settings.m_version);
    m_impl->setDaemon("calls_open", node.m_calls.size());
    m_impl->setDaemon("ready", node.m_memberState == MemberState::Ready ? 1 : 0);
    m_impl->setDaemon("broken_invariants", countBrokenInvariants());
}

std::string Metrics::render(const TrafficCounts& traffic)
{
    const auto setCost = [this](const std::string& figure, double value) { m_impl->m_cost.Add({ { "figure", figure } }).Set(value); };
    setCost("processor_seconds_total", processorSeconds());
    setCost("resident_bytes", residentBytes());
    setCost("heartbeat_bytes_total", static_cast<double>(traffic.m_heartbeatBytes));
    setCost("platform_bytes_total", static_cast<double>(traffic.m_platformBytes));
    setCost("endpoint_bytes_total", static_cast<double>(traffic.m_endpointBytes));
    setCost("peer_bytes_total", static_cast<double>(traffic.m_peerBytes));
    setCost("ring_items", static_cast<double>(traffic.m_ringItems));
    setCost("ring_refusals_total", static_cast<double>(traffic.m_ringRefusals));
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_impl->m_registry.Collect());
    return text.str();
}

} // namespace bulrushloft
