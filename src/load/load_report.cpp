/** @file load_report.cpp Report of a load test. */
#include "load/load_func.h"

#include "ctl/output.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bulrushloft {

namespace {

    constexpr std::size_t maxFaultsShown = 5;

    std::string formatNumber(double value, int digits)
    {
        char text[64];
        std::snprintf(text, sizeof text, "%.*f", digits, value);
        return text;
    }

    std::int64_t percentile(std::vector<std::int64_t> values, double fraction)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
        return values[rank];
    }

    bool reportRequests(const LoadResults& results)
    {
        std::map<std::string, std::uint32_t> counts;
        std::vector<std::int64_t> latencies;
        std::uint32_t wrong = 0;
        std::map<std::string, std::uint32_t> errors;
        for (const RequestResult& request : results.m_requests) {
            ++counts[std::string(request.m_isIdempotent ? "idempotent " : "non-idempotent ") + std::string(nameOf(request.m_outcome))];
            latencies.push_back(request.m_latency.m_ms);
            wrong += request.m_isWrongAnswer ? 1 : 0;
            if (request.m_outcome != RunOutcome::Done)
                ++errors[request.m_error];
        }
        std::cout << "requests: " << results.m_requests.size() << " sent, " << wrong << " wrong answers\n";
        for (const auto& [outcome, count] : counts)
            std::cout << "  " << outcome << ": " << count << "\n";
        for (const auto& [error, count] : errors)
            std::cout << "  " << count << " x " << error << "\n";
        std::cout << "  latency at the callers: p50 " << percentile(latencies, 0.5) << " ms, p99 " << percentile(latencies, 0.99) << " ms, maximum " << percentile(latencies, 1.0) << " ms\n";
        return wrong == 0 && !results.m_requests.empty();
    }

    bool reportJobs(const LoadResults& results)
    {
        bool hasPassed = !results.m_jobs.empty();
        std::uint32_t urgentCount = 0;
        std::vector<std::int64_t> urgentDurations;
        TableRows rows { { "JOB", "DESCRIPTION", "STATE", "AS EXPECTED", "ELAPSED MS" } };
        for (const JobResult& job : results.m_jobs) {
            hasPassed = hasPassed && job.m_isAsExpected;
            const bool isUrgent = job.m_description.find("urgent") != std::string::npos;
            if (isUrgent && job.m_isAsExpected) {
                ++urgentCount;
                urgentDurations.push_back(job.m_elapsed.m_ms);
                continue;
            }
            rows.push_back({ job.m_id, job.m_description, job.m_state, job.m_isAsExpected ? "yes" : "NO", std::to_string(job.m_elapsed.m_ms) });
        }
        std::cout << "jobs:\n"
                  << formatTable(rows) << "  and " << urgentCount << " urgent jobs done, time from submission to end: p50 " << percentile(urgentDurations, 0.5) << " ms, maximum " << percentile(urgentDurations, 1.0) << " ms, including the task run time of 400 ms\n";
        return hasPassed;
    }

    bool reportRaces(const LoadResults& results)
    {
        bool hasPassed = !results.m_races.empty();
        std::uint32_t wonCount = 0;
        std::int64_t longestPropagation = 0;
        for (const RaceResult& race : results.m_races) {
            hasPassed = hasPassed && race.m_acceptedCount <= 1 && race.m_isInForceEverywhere;
            wonCount += race.m_acceptedCount == 1 ? 1 : 0;
            longestPropagation = std::max(longestPropagation, race.m_propagationTime.m_ms);
        }
        std::cout << "settings races: " << results.m_races.size() << ", exactly one change accepted in " << wonCount << ", in force on every daemon after at most " << longestPropagation << " ms\n";
        return hasPassed;
    }

    /** Histogram of the waiting times of one kind of work, team and work class. */
    struct Histogram {
        std::map<double, double> m_buckets; ///< Cumulative number of observations by upper bound in seconds.
        double m_count = 0; ///< Number of observations.
        double m_sum = 0; ///< Sum of the observations in seconds.
    };

    /** @return The value of a label in "metric{labels}"; empty if the label is absent. */
    std::string labelValue(const std::string& labels, const std::string& name)
    {
        const std::size_t at = labels.find(name + "=\"");
        if (at == std::string::npos)
            return {};
        const std::size_t start = at + name.size() + 2;
        return labels.substr(start, labels.find('"', start) - start);
    }

    /** @return The upper bound in seconds of the bucket that contains the quantile; 0 if no finite bucket does. */
    double quantile(const Histogram& histogram, double fraction)
    {
        for (const auto& [upperBound, count] : histogram.m_buckets) {
            if (count >= fraction * histogram.m_count)
                return upperBound;
        }
        return 0;
    }

    /** Metrics of one daemon. */
    struct Scrape {
        std::map<std::string, Histogram> m_waitTimes; ///< Histograms of waiting times by "kind team class".
        std::map<std::string, double> m_samples; ///< All samples by "metric{labels}".
    };

    /** Adds one line of the Prometheus text format to a scrape. */
    void parseMetricLine(const std::string& line, Scrape& scrape)
    {
        const std::size_t space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos)
            return;
        const double value = std::atof(line.c_str() + space + 1);
        const std::string name = line.substr(0, space);
        scrape.m_samples[name] += value;
        for (const std::string kind : { "task_wait", "request_wait" }) {
            const std::string prefix = "bulrush_" + kind + "_seconds";
            if (name.rfind(prefix, 0) != 0)
                continue;
            Histogram& histogram = scrape.m_waitTimes[kind.substr(0, kind.find('_')) + " " + labelValue(name, "team") + " " + labelValue(name, "class")];
            if (name.rfind(prefix + "_bucket", 0) == 0 && labelValue(name, "le") != "+Inf")
                histogram.m_buckets[std::atof(labelValue(name, "le").c_str())] += value;
            else if (name.rfind(prefix + "_count", 0) == 0)
                histogram.m_count += value;
            else if (name.rfind(prefix + "_sum", 0) == 0)
                histogram.m_sum += value;
        }
    }

    /** @return The metrics of a daemon; empty if it does not answer. */
    Scrape scrapeDaemon(HttpClient& client, const Address& entry)
    {
        Scrape scrape;
        HttpCall call { .m_address = entry, .m_timeout = { 2'000 } };
        call.m_request.m_target = "/metrics";
        const HttpResult result = sendAndWait(client, std::move(call));
        std::istringstream text(result ? std::string(viewOf(result->m_body)) : std::string());
        for (std::string line; std::getline(text, line);)
            parseMetricLine(line, scrape);
        return scrape;
    }

    void printWaitTimes(const std::map<std::string, Histogram>& waitTimes)
    {
        TableRows rows { { "WAITING TIME OF", "TEAM", "CLASS", "COUNT", "MEAN MS", "P50 <= MS", "P99 <= MS" } };
        for (const auto& [name, histogram] : waitTimes) {
            std::istringstream words(name);
            std::string kind;
            std::string team;
            std::string workClass;
            words >> kind >> team >> workClass;
            rows.push_back({ kind, team, workClass, formatNumber(histogram.m_count, 0), formatNumber(histogram.m_sum / std::max(histogram.m_count, 1.0) * 1000, 1), formatNumber(quantile(histogram, 0.5) * 1000, 0), formatNumber(quantile(histogram, 0.99) * 1000, 0) });
        }
        std::cout << formatTable(rows);
    }

} // namespace

bool reportResults(const LoadOptions&, const LoadResults& results)
{
    const bool haveRequestsPassed = reportRequests(results);
    const bool haveJobsPassed = reportJobs(results);
    const bool haveRacesPassed = reportRaces(results);
    return haveRequestsPassed && haveJobsPassed && haveRacesPassed;
}

void reportMetrics(const LoadOptions& options, HttpClient& client)
{
    std::map<std::string, Histogram> waitTimes;
    TableRows costs { { "DAEMON", "PROCESSOR S", "RESIDENT MB", "HEARTBEAT KB", "PLATFORM KB", "ENDPOINT KB", "PEER KB" } };
    TableRows packing { { "SHARD", "DIMENSION", "GRANTED", "OFFERED" } };
    for (const Address& entry : options.m_entries) {
        Scrape scrape = scrapeDaemon(client, entry);
        for (const auto& [name, histogram] : scrape.m_waitTimes) {
            Histogram& total = waitTimes[name];
            total.m_count += histogram.m_count;
            total.m_sum += histogram.m_sum;
            for (const auto& [upperBound, count] : histogram.m_buckets)
                total.m_buckets[upperBound] += count;
        }
        const auto cost = [&scrape](const std::string& figure) { return scrape.m_samples["bulrush_control_cost{figure=\"" + figure + "\"}"]; };
        costs.push_back({ format(entry), formatNumber(cost("processor_seconds_total"), 2), formatNumber(cost("resident_bytes") / 1e6, 1), formatNumber(cost("heartbeat_bytes_total") / 1e3, 1), formatNumber(cost("platform_bytes_total") / 1e3, 1), formatNumber(cost("endpoint_bytes_total") / 1e3, 1), formatNumber(cost("peer_bytes_total") / 1e3, 1) });
        for (const auto& [name, value] : scrape.m_samples) {
            if (name.rfind("bulrush_pool_offered", 0) != 0 || value == 0)
                continue;
            const std::string labels = name.substr(name.find('{'));
            packing.push_back({ labelValue(labels, "shard"), labelValue(labels, "dimension"), formatNumber(scrape.m_samples["bulrush_pool_granted" + labels], 0), formatNumber(value, 0) });
        }
    }
    printWaitTimes(waitTimes);
    std::cout << formatTable(packing) << formatTable(costs);
}

bool checkHistory(const LoadResults& results, HttpClient& client, const Address& address)
{
    bool hasPassed = true;
    const auto fetch = [&](const std::string& kind) {
        HttpCall call { .m_address = address, .m_timeout = { 20'000 } };
        call.m_request.m_target = "/history/" + kind;
        const HttpResult result = sendAndWait(client, std::move(call));
        return result ? nlohmann::json::parse(viewOf(result->m_body)) : nlohmann::json { { "runs", nlohmann::json::array() }, { "breaches", { "the history could not be fetched from the fake platform" } }, { "overlaps", nlohmann::json::array() } };
    };
    for (const std::string kind : { "requests", "tasks" }) {
        const nlohmann::json history = fetch(kind);
        std::map<std::string, std::uint32_t> runs;
        for (const auto& run : history.at("runs"))
            ++runs[run.at(0)];
        std::vector<std::string> faults;
        for (const auto& breach : history.at("breaches"))
            faults.push_back(breach);
        for (const auto& overlap : history.at("overlaps"))
            faults.push_back(overlap);
        for (const RequestResult& request : results.m_requests) {
            if (kind != "requests")
                break;
            const auto found = runs.find(request.m_key);
            const std::uint32_t count = found == runs.end() ? 0 : found->second;
            if (!request.m_isIdempotent && count > 1)
                faults.push_back(request.m_key + " is not idempotent but ran " + std::to_string(count) + " times");
            if (request.m_outcome == RunOutcome::NotRun && count > 0)
                faults.push_back(request.m_key + " was reported as not run but ran");
            if (request.m_outcome == RunOutcome::Done && count == 0)
                faults.push_back(request.m_key + " was reported as done but did not run");
        }
        std::cout << "history of " << kind << ": " << history.at("runs").size() << " runs, " << faults.size() << " faults\n";
        for (std::size_t i = 0; i < std::min(faults.size(), maxFaultsShown); ++i)
            std::cout << "  FAULT " << faults[i] << "\n";
        hasPassed = hasPassed && faults.empty();
    }
    return hasPassed;
}

} // namespace bulrushloft
