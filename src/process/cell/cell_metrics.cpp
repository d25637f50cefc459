/** @file cell_metrics.cpp Metrics by prometheus-cpp. */
#include "process/cell/cell_metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace bulrushloft::cell {

namespace {

    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;

    /** A family of figures, told apart by one label. */
    class Figures {
    public:
        Figures(std::string name, std::string help, MetricType type)
        {
            m_family.name = std::move(name);
            m_family.help = std::move(help);
            m_family.type = type;
        }

        void add(const std::string& kind, double value)
        {
            ClientMetric metric;
            metric.label.push_back({ "kind", kind });
            metric.counter.value = value;
            metric.gauge.value = value;
            m_family.metric.push_back(std::move(metric));
        }

        const MetricFamily& family() const { return m_family; }

    private:
        MetricFamily m_family;
    };

    MetricFamily countersOf(const CellNode& node)
    {
        Figures figures("bulrush_cell_total", "Events since the start of the process", MetricType::Counter);
        const CellCounters& counters = node.m_counters;
        figures.add("writes-stored", static_cast<double>(counters.m_submits));
        figures.add("calls-refused", static_cast<double>(counters.m_refusals));
        figures.add("calls-unknown", static_cast<double>(counters.m_unknowns));
        figures.add("store-appends", static_cast<double>(counters.m_appends));
        figures.add("store-reads", static_cast<double>(counters.m_reads));
        figures.add("relays", static_cast<double>(counters.m_relays));
        figures.add("claims", static_cast<double>(counters.m_claims));
        figures.add("terms", static_cast<double>(counters.m_terms));
        return figures.family();
    }

    MetricFamily gaugesOf(const CellNode& node)
    {
        Figures figures("bulrush_cell", "State of this daemon", MetricType::Gauge);
        figures.add("leading", node.m_role == Role::Leading ? 1 : 0);
        figures.add("token", static_cast<double>(node.m_leader.m_token));
        figures.add("config-version", node.m_cluster ? static_cast<double>(node.m_cluster->m_version) : 0);
        figures.add("store-reached", node.m_isStoreReached ? 1 : 0);
        figures.add("peers", static_cast<double>(node.m_peers.size()));
        return figures.family();
    }

    MetricFamily schedulerOf(const scheduler::Scheduler& scheduler)
    {
        Figures figures("bulrush_scheduler", "Counts of the present term", MetricType::Gauge);
        figures.add("jobs", static_cast<double>(scheduler.m_jobs.size()));
        figures.add("workers", static_cast<double>(scheduler.m_workers.size()));
        figures.add("steps-waiting", static_cast<double>(scheduler.m_waitingSteps.size()));
        figures.add("placements", static_cast<double>(scheduler.m_counters.m_placements));
        figures.add("starts", static_cast<double>(scheduler.m_counters.m_starts));
        figures.add("syncs", static_cast<double>(scheduler.m_counters.m_syncs));
        figures.add("asks", static_cast<double>(scheduler.m_counters.m_approvalRequests));
        figures.add("done", static_cast<double>(scheduler.m_counters.m_done));
        figures.add("failed", static_cast<double>(scheduler.m_counters.m_failed));
        figures.add("lost", static_cast<double>(scheduler.m_counters.m_lost));
        figures.add("refused", static_cast<double>(scheduler.m_counters.m_refused));
        return figures.family();
    }

} // namespace

std::string renderMetrics(const CellNode& node)
{
    std::vector<MetricFamily> families { countersOf(node), gaugesOf(node) };
    if (node.m_scheduler)
        families.push_back(schedulerOf(*node.m_scheduler));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace bulrushloft::cell
