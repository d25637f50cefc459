/** @file cell_metrics.cpp Rendering of metrics with prometheus-cpp. */
#include "process/cell/cell_metrics.h"

#include "connection/http_refusal.h"
#include "process/cell/cell_detail.h"
#include "process/cell/partition_silence.h"
#include "process/scheduler/customer_report.h"
#include "table/http_table.h"
#include "table/scheduler_table.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace bulrushloft::cell {

namespace {

    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;

    /** @return Topic of a partition, with its number unless that is 0. */
    std::string labelOf(const StorePartition& partition)
    {
        return partition.m_partition == 0 ? partition.m_topic : partition.m_topic + "#" + std::to_string(partition.m_partition);
    }

    /** Builds a metric family whose metrics are distinguished by the label "kind". */
    class MetricFamilyBuilder {
    public:
        MetricFamilyBuilder(std::string name, std::string help, MetricType type)
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

    MetricFamily collectCounters(const CellNode& node)
    {
        MetricFamilyBuilder builder("bulrush_cell_total", "Events since the start of the process", MetricType::Counter);
        const CellCounters& counters = node.m_counters;
        builder.add("writes-stored", static_cast<double>(counters.m_storedWrites));
        builder.add("calls-refused", static_cast<double>(counters.m_refusedCalls));
        builder.add("calls-unknown", static_cast<double>(counters.m_unknownOutcomes));
        builder.add("store-appends", static_cast<double>(counters.m_appends));
        builder.add("store-reads", static_cast<double>(counters.m_reads));
        builder.add("relays", static_cast<double>(counters.m_relays));
        builder.add("claims", static_cast<double>(counters.m_claims));
        builder.add("terms", static_cast<double>(counters.m_terms));
        return builder.family();
    }

    MetricFamily collectGauges(const CellNode& node)
    {
        MetricFamilyBuilder builder("bulrush_cell", "State of this daemon", MetricType::Gauge);
        builder.add("leading", node.m_role == Role::Leading ? 1 : 0);
        builder.add("token", static_cast<double>(node.m_leader.m_token));
        builder.add("config-version", node.m_cluster ? static_cast<double>(node.m_cluster->m_version) : 0);
        builder.add("store-reached", node.m_isStoreReached ? 1 : 0);
        if (const auto age = detail::reportedConfigAge(node))
            builder.add("config-known-current-ms-ago", static_cast<double>(age->m_ms));
        builder.add("peers", static_cast<double>(node.m_peers.size()));
        const bool isLeading = node.m_role == Role::Leading;
        const TermEvidence& evidence = node.m_termLease.m_evidence;
        builder.add("term-proven-ms-ago", isLeading ? static_cast<double>((node.m_lastBootTime - provenAt(evidence, node.m_options.m_termLease)).m_ms) : 0);
        builder.add("term-store-asked-ms-ago", isLeading ? static_cast<double>((node.m_lastBootTime - evidence.m_storeAskedAt).m_ms) : 0);
        builder.add("term-members-asked", isLeading ? static_cast<double>(evidence.m_memberAskedAt.size()) : 0);
        builder.add("leases-renewed-ms-ago", isLeading ? static_cast<double>(detail::renewalAgeMs(node)) : 0);
        const auto oldest = oldestUnconfirmedSince(node.m_writer);
        builder.add("appends-unconfirmed", static_cast<double>(node.m_writer.m_queue.size()));
        builder.add("oldest-append-ms", oldest ? static_cast<double>((node.m_now - *oldest).m_ms) : 0);
        return builder.family();
    }

    /** Appends to each partition; the label is the topic and the outcome. */
    MetricFamily collectAppends(const StoreTraffic& traffic)
    {
        MetricFamilyBuilder builder("bulrush_store_appends_total", "Attempts of appends, by topic and outcome", MetricType::Counter);
        for (const auto& [partition, each] : traffic.m_partitions) {
            const CallTraffic& appends = each.m_appends;
            builder.add(labelOf(partition) + "/sent", static_cast<double>(appends.m_sent));
            builder.add(labelOf(partition) + "/done", static_cast<double>(appends.m_done));
            builder.add(labelOf(partition) + "/refused", static_cast<double>(appends.m_refused));
            builder.add(labelOf(partition) + "/rejected", static_cast<double>(appends.m_rejected));
            builder.add(labelOf(partition) + "/unanswered", static_cast<double>(appends.m_unanswered));
        }
        return builder.family();
    }

    /** Calls that a partition may still have to carry out; the label is the topic and what they wait for. */
    MetricFamily collectOpenCalls(const StoreTraffic& traffic)
    {
        MetricFamilyBuilder builder("bulrush_store_open", "Calls without an answer, by topic", MetricType::Gauge);
        for (const auto& [partition, each] : traffic.m_partitions) {
            builder.add(labelOf(partition) + "/appends", static_cast<double>(each.m_appends.m_open.size()));
            builder.add(labelOf(partition) + "/appends-given-up", static_cast<double>(each.m_appends.m_givenUp.size()));
            builder.add(labelOf(partition) + "/reads", static_cast<double>(each.m_reads.m_open.size()));
            builder.add(labelOf(partition) + "/reads-given-up", static_cast<double>(each.m_reads.m_givenUp.size()));
        }
        return builder.family();
    }

    /** For how long partitions have carried out nothing although they were called; the label is the topic. */
    MetricFamily collectSilence(const StoreTraffic& traffic, TimePoint now)
    {
        MetricFamilyBuilder builder("bulrush_store_partition_silent_ms", "Time in which a partition that is called has carried out nothing, in ms, by topic", MetricType::Gauge);
        for (const auto& [partition, each] : traffic.m_partitions)
            builder.add(labelOf(partition), static_cast<double>(partitionSilence(each, now).m_ms));
        return builder.family();
    }

    MetricFamily collectSchedulerGauges(const scheduler::Scheduler& scheduler)
    {
        MetricFamilyBuilder builder("bulrush_scheduler", "Counts of the present term", MetricType::Gauge);
        builder.add("jobs", static_cast<double>(scheduler.m_jobs.size()));
        builder.add("workers", static_cast<double>(scheduler.m_workers.size()));
        builder.add("active-workers", static_cast<double>(scheduler.m_activeWorkers.size()));
        builder.add("submissions-unread", scheduler.m_areSubmissionsUnread ? 1 : 0);
        builder.add("cancellations-unread", scheduler.m_areCancellationsUnread ? 1 : 0);
        builder.add("progress-unmatched", static_cast<double>(scheduler.m_unmatchedProgress.size()));
        builder.add("ends-unmatched", static_cast<double>(scheduler.m_unmatchedEnds.size()));
        builder.add("steps-waiting", static_cast<double>(scheduler.m_waitingSteps.size()));
        builder.add("steps-waiting-long", scheduler.m_waitSummary.m_steps);
        builder.add("oldest-wait-ms", static_cast<double>(scheduler.m_waitSummary.m_oldest.m_ms));
        builder.add("placements", static_cast<double>(scheduler.m_counters.m_placements));
        builder.add("starts", static_cast<double>(scheduler.m_counters.m_starts));
        builder.add("syncs", static_cast<double>(scheduler.m_counters.m_syncs));
        builder.add("asks", static_cast<double>(scheduler.m_counters.m_approvalRequests));
        builder.add("done", static_cast<double>(scheduler.m_counters.m_done));
        builder.add("failed", static_cast<double>(scheduler.m_counters.m_failed));
        builder.add("lost", static_cast<double>(scheduler.m_counters.m_lost));
        builder.add("refused", static_cast<double>(scheduler.m_counters.m_refused));
        builder.add("place-waits-begun", static_cast<double>(scheduler.m_counters.m_placeWaits.m_begun));
        builder.add("place-waits-ended", static_cast<double>(scheduler.m_counters.m_placeWaits.m_ended));
        builder.add("place-waits-given-up", static_cast<double>(scheduler.m_counters.m_placeWaits.m_givenUp));
        builder.add("place-waited-ms", static_cast<double>(scheduler.m_counters.m_placeWaits.m_waitedMs));
        return builder.family();
    }

    MetricFamily collectWaitGauges(const scheduler::WaitSummary& summary)
    {
        MetricFamilyBuilder builder("bulrush_scheduler_waits", "Steps that wait long, by cause", MetricType::Gauge);
        for (const auto& [cause, name] : scheduler::waitCauseNames)
            builder.add(std::string(name), summary.m_byCause[static_cast<std::size_t>(cause)]);
        return builder.family();
    }

    /** Decisions on submissions since the start of the process; the label is the customer and the decision. */
    MetricFamily collectGateCounts(const SubmissionGate& gate)
    {
        constexpr std::size_t maxCustomers = 50;
        MetricFamilyBuilder builder("bulrush_admission_total", "Submissions that a leader has decided on, by customer and decision", MetricType::Counter);
        for (const auto& [customer, counts] : largestCounts(gate, maxCustomers)) {
            const std::string label = customer.empty() ? "none" : customer;
            builder.add(label + "/accepted", static_cast<double>(counts[static_cast<std::size_t>(GateCause::Accepted)]));
            builder.add(label + "/over-rate", static_cast<double>(counts[static_cast<std::size_t>(GateCause::OverRate)]));
            builder.add(label + "/hopeless", static_cast<double>(counts[static_cast<std::size_t>(GateCause::Hopeless)]));
        }
        return builder.family();
    }

    /** What customers have running and waiting; the label is the customer and the quantity. */
    MetricFamily collectCustomers(const scheduler::Scheduler& scheduler)
    {
        MetricFamilyBuilder builder("bulrush_customer", "Work of the customers with the most of it, and the sum of the others", MetricType::Gauge);
        for (const scheduler::CustomerReport& report : scheduler::reportCustomers(scheduler)) {
            const auto addResources = [&](const std::string& quantity, const Resources& amounts) {
                builder.add(report.m_name + "/" + quantity + "-cpu-milli", static_cast<double>(amounts.m_cpuMilli));
                builder.add(report.m_name + "/" + quantity + "-mem-mb", static_cast<double>(amounts.m_memoryMb));
                builder.add(report.m_name + "/" + quantity + "-gpu", static_cast<double>(amounts.m_gpus));
            };
            addResources("running", report.m_running);
            addResources("cap", report.m_cap);
            builder.add(report.m_name + "/waiting-tasks", static_cast<double>(report.m_waiting));
            builder.add(report.m_name + "/steps-held-by-cap", static_cast<double>(report.m_heldSteps));
            builder.add(report.m_name + "/share", report.m_share);
        }
        return builder.family();
    }

    /** Time until the work that waits has started; the label is the pool. A pool without waiting work is left out. */
    MetricFamily collectGateEstimate(const ServiceEstimate& estimate, TimePoint now)
    {
        MetricFamilyBuilder builder("bulrush_admission_wait_ms", "Estimated time until the work that waits in a pool has started, in ms", MetricType::Gauge);
        for (const auto& [name, pool] : estimate.m_load.m_pools)
            builder.add(name, static_cast<double>(backlogOf(estimate.m_load, pool).m_ms));
        builder.add("estimate-age-ms", static_cast<double>((now - estimate.m_madeAt).m_ms));
        return builder.family();
    }

    /** Calls to workers that had no complete answer; the label says how they ended. */
    MetricFamily collectFailedCalls(const FailedCalls& failedCalls)
    {
        MetricFamilyBuilder builder("bulrush_worker_calls_failed_total", "Calls to workers without a complete answer, by how they ended", MetricType::Counter);
        for (const auto& [end, count] : failedCalls)
            builder.add(std::string(findName(callEndNames, end)), static_cast<double>(count));
        return builder.family();
    }

    void addRefusals(MetricFamily& family, const std::string& customer, const CountByCause& counts)
    {
        for (const auto& [cause, count] : counts) {
            ClientMetric metric;
            metric.label.push_back({ "customer", customer });
            metric.label.push_back({ "cause", std::string(cause) });
            metric.counter.value = static_cast<double>(count);
            family.metric.push_back(std::move(metric));
        }
    }

    /** Refused calls of a bounded number of customers, and of the others together. */
    MetricFamily collectRefusals(const CallRefusals& refusals)
    {
        MetricFamily family { .name = "bulrush_calls_refused_total", .help = "Refused calls, by customer and cause; customer - for calls without a valid key, (others) for further customers", .type = MetricType::Counter, .metric = {} };
        for (const auto& [customer, counts] : refusals.m_byCustomer)
            addRefusals(family, customer, counts);
        addRefusals(family, "(others)", refusals.m_ofOthers);
        return family;
    }

    /** The kind is the listener and the cause, such as clients/body-too-large. */
    MetricFamily collectHttpRefusals(const HttpRefusals& refusals)
    {
        MetricFamilyBuilder builder("bulrush_http_refused_total", "Requests refused, and connections closed for others, since the start of the process", MetricType::Counter);
        for (const auto& [listener, counts] : refusals) {
            for (std::size_t cause = 0; cause < counts.size(); ++cause)
                builder.add(listener + "/" + std::string(nameOf(static_cast<HttpRefusal>(cause))), static_cast<double>(counts[cause]));
        }
        return builder.family();
    }

} // namespace

std::string renderMetrics(const CellNode& node, const FailedCalls& failedCalls, const HttpRefusals& refusals)
{
    std::vector<MetricFamily> families { collectCounters(node), collectFailedCalls(failedCalls), collectHttpRefusals(refusals), collectGauges(node), collectAppends(node.m_storeTraffic), collectOpenCalls(node.m_storeTraffic), collectSilence(node.m_storeTraffic, node.m_now) };
    if (!node.m_callRefusals.m_byCustomer.empty())
        families.push_back(collectRefusals(node.m_callRefusals));
    if (!node.m_gate.m_counts.empty())
        families.push_back(collectGateCounts(node.m_gate));
    if (node.m_role == Role::Leading && node.m_gate.m_estimate)
        families.push_back(collectGateEstimate(*node.m_gate.m_estimate, node.m_now));
    if (node.m_scheduler) {
        families.push_back(collectSchedulerGauges(*node.m_scheduler));
        families.push_back(collectWaitGauges(node.m_scheduler->m_waitSummary));
        if (!node.m_scheduler->m_customers.empty())
            families.push_back(collectCustomers(*node.m_scheduler));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace bulrushloft::cell
