/** @file load_report.cpp Report of a load run. */
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

    constexpr std::size_t examplesShown = 5;

    std::string formatNumber(double value, int digits)
    {
        char text[64];
        std::snprintf(text, sizeof text, "%.*f", digits, value);
        return text;
    }

    std::int64_t percentile(std::vector<std::int64_t> values, double share)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
        return values[rank];
    }

    bool reportRequests(const LoadNotes& notes)
    {
        std::map<std::string, std::uint32_t> counts;
        std::vector<std::int64_t> latencies;
        std::uint32_t wrong = 0;
        std::map<std::string, std::uint32_t> errors;
        for (const RequestNote& note : notes.m_requests) {
            ++counts[std::string(note.m_isIdempotent ? "idempotent " : "non-idempotent ") + std::string(nameOf(note.m_outcome))];
            latencies.push_back(note.m_latency.m_ms);
            wrong += note.m_isWrong ? 1 : 0;
            if (note.m_outcome != RunOutcome::Done)
                ++errors[note.m_error];
        }
        std::cout << "requests: " << notes.m_requests.size() << " sent, all answered or accounted for, " << wrong << " wrong answers\n";
        for (const auto& [what, count] : counts)
            std::cout << "  " << what << ": " << count << "\n";
        for (const auto& [what, count] : errors)
            std::cout << "  " << count << " x " << what << "\n";
        std::cout << "  latency seen by callers: p50 " << percentile(latencies, 0.5) << " ms, p99 " << percentile(latencies, 0.99) << " ms, longest " << percentile(latencies, 1.0) << " ms\n";
        return wrong == 0 && !notes.m_requests.empty();
    }

    bool reportJobs(const LoadNotes& notes)
    {
        bool isGood = !notes.m_jobs.empty();
        std::uint32_t urgentCount = 0;
        std::vector<std::int64_t> urgentTimes;
        TableRows rows { { "JOB", "WHAT", "STATE", "AS EXPECTED", "TOOK MS" } };
        for (const JobNote& note : notes.m_jobs) {
            isGood = isGood && note.m_isAsExpected;
            const bool isUrgent = note.m_what.find("urgent") != std::string::npos;
            if (isUrgent && note.m_isAsExpected) {
                ++urgentCount;
                urgentTimes.push_back(note.m_took.m_ms);
                continue;
            }
            rows.push_back({ note.m_id, note.m_what, note.m_state, note.m_isAsExpected ? "yes" : "NO", std::to_string(note.m_took.m_ms) });
        }
        std::cout << "jobs:\n"
                  << formatTable(rows) << "  and " << urgentCount << " urgent jobs done, p50 " << percentile(urgentTimes, 0.5) << " ms, longest " << percentile(urgentTimes, 1.0) << " ms with 400 ms of work\n";
        return isGood;
    }

    bool reportRaces(const LoadNotes& notes)
    {
        bool isGood = !notes.m_races.empty();
        std::uint32_t decided = 0;
        std::int64_t longest = 0;
        for (const RaceNote& race : notes.m_races) {
            isGood = isGood && race.m_accepted <= 1 && race.m_isInForce;
            decided += race.m_accepted == 1 ? 1 : 0;
            longest = std::max(longest, race.m_inForceAfter.m_ms);
        }
        std::cout << "operators' races: " << notes.m_races.size() << ", exactly one winner in " << decided << ", in force on every daemon after at most " << longest << " ms\n";
        return isGood;
    }

    /** One histogram series, summed over the daemons. */
    struct Series {
        std::map<double, double> m_buckets; ///< Cumulative count by upper bound.
        double m_count = 0; ///< Observations.
        double m_sum = 0; ///< Sum in seconds.
    };

    std::string labelOf(const std::string& labels, const std::string& name)
    {
        const std::size_t at = labels.find(name + "=\"");
        if (at == std::string::npos)
            return {};
        const std::size_t start = at + name.size() + 2;
        return labels.substr(start, labels.find('"', start) - start);
    }

    double quantile(const Series& series, double share)
    {
        for (const auto& [bound, count] : series.m_buckets) {
            if (count >= share * series.m_count)
                return bound;
        }
        return 0;
    }

    struct Scrape {
        std::map<std::string, Series> m_waits; ///< By "kind team class".
        std::map<std::string, double> m_gauges; ///< By "metric{labels}".
    };

    void readLine(const std::string& line, Scrape& scrape)
    {
        const std::size_t space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos)
            return;
        const double value = std::atof(line.c_str() + space + 1);
        const std::string name = line.substr(0, space);
        scrape.m_gauges[name] += value;
        for (const std::string kind : { "task_wait", "request_wait" }) {
            const std::string prefix = "bulrush_" + kind + "_seconds";
            if (name.rfind(prefix, 0) != 0)
                continue;
            Series& series = scrape.m_waits[kind.substr(0, kind.find('_')) + " " + labelOf(name, "team") + " " + labelOf(name, "class")];
            if (name.rfind(prefix + "_bucket", 0) == 0 && labelOf(name, "le") != "+Inf")
                series.m_buckets[std::atof(labelOf(name, "le").c_str())] += value;
            else if (name.rfind(prefix + "_count", 0) == 0)
                series.m_count += value;
            else if (name.rfind(prefix + "_sum", 0) == 0)
                series.m_sum += value;
        }
    }

    Scrape scrapeOne(HttpClient& client, const Address& entry)
    {
        Scrape scrape;
        HttpCall call { .m_address = entry, .m_timeout = { 2'000 } };
        call.m_request.m_target = "/metrics";
        const HttpResult result = sendAndWait(client, std::move(call));
        std::istringstream text(result ? std::string(viewOf(result->m_body)) : std::string());
        for (std::string line; std::getline(text, line);)
            readLine(line, scrape);
        return scrape;
    }

    void printWaits(const std::map<std::string, Series>& waits)
    {
        TableRows rows { { "WAITING TIME OF", "TEAM", "CLASS", "COUNT", "MEAN MS", "P50 <= MS", "P99 <= MS" } };
        for (const auto& [name, series] : waits) {
            std::istringstream words(name);
            std::string kind;
            std::string team;
            std::string workClass;
            words >> kind >> team >> workClass;
            rows.push_back({ kind, team, workClass, formatNumber(series.m_count, 0), formatNumber(series.m_sum / std::max(series.m_count, 1.0) * 1000, 1), formatNumber(quantile(series, 0.5) * 1000, 0), formatNumber(quantile(series, 0.99) * 1000, 0) });
        }
        std::cout << formatTable(rows);
    }

} // namespace

bool reportNotes(const LoadOptions&, const LoadNotes& notes)
{
    const bool areRequestsGood = reportRequests(notes);
    const bool areJobsGood = reportJobs(notes);
    const bool areRacesGood = reportRaces(notes);
    return areRequestsGood && areJobsGood && areRacesGood;
}

void reportMetrics(const LoadOptions& options, HttpClient& client)
{
    std::map<std::string, Series> waits;
    TableRows costs { { "DAEMON", "PROCESSOR S", "RESIDENT MB", "HEARTBEAT KB", "PLATFORM KB", "ENDPOINT KB", "PEER KB" } };
    TableRows packing { { "SHARD", "DIMENSION", "GRANTED", "OFFERED" } };
    for (const Address& entry : options.m_entries) {
        Scrape scrape = scrapeOne(client, entry);
        for (const auto& [name, series] : scrape.m_waits) {
            Series& sum = waits[name];
            sum.m_count += series.m_count;
            sum.m_sum += series.m_sum;
            for (const auto& [bound, count] : series.m_buckets)
                sum.m_buckets[bound] += count;
        }
        const auto cost = [&scrape](const std::string& figure) { return scrape.m_gauges["bulrush_control_cost{figure=\"" + figure + "\"}"]; };
        costs.push_back({ format(entry), formatNumber(cost("processor_seconds_total"), 2), formatNumber(cost("resident_bytes") / 1e6, 1), formatNumber(cost("heartbeat_bytes_total") / 1e3, 1), formatNumber(cost("platform_bytes_total") / 1e3, 1), formatNumber(cost("endpoint_bytes_total") / 1e3, 1), formatNumber(cost("peer_bytes_total") / 1e3, 1) });
        for (const auto& [name, value] : scrape.m_gauges) {
            if (name.rfind("bulrush_pool_offered", 0) != 0 || value == 0)
                continue;
            const std::string labels = name.substr(name.find('{'));
            packing.push_back({ labelOf(labels, "shard"), labelOf(labels, "dimension"), formatNumber(scrape.m_gauges["bulrush_pool_granted" + labels], 0), formatNumber(value, 0) });
        }
    }
    printWaits(waits);
    std::cout << formatTable(packing) << formatTable(costs);
}

bool checkHistory(const LoadNotes& notes, HttpClient& client, const Address& address)
{
    bool isGood = true;
    const auto fetch = [&](const std::string& what) {
        HttpCall call { .m_address = address, .m_timeout = { 20'000 } };
        call.m_request.m_target = "/history/" + what;
        const HttpResult result = sendAndWait(client, std::move(call));
        return result ? nlohmann::json::parse(viewOf(result->m_body)) : nlohmann::json { { "runs", nlohmann::json::array() }, { "breaches", { "no history" } }, { "overlaps", nlohmann::json::array() } };
    };
    for (const std::string what : { "requests", "tasks" }) {
        const nlohmann::json history = fetch(what);
        std::map<std::string, std::uint32_t> runs;
        for (const auto& run : history.at("runs"))
            ++runs[run.at(0)];
        std::vector<std::string> faults;
        for (const auto& breach : history.at("breaches"))
            faults.push_back(breach);
        for (const auto& overlap : history.at("overlaps"))
            faults.push_back(overlap);
        for (const RequestNote& note : notes.m_requests) {
            if (what != "requests")
                break;
            const auto found = runs.find(note.m_key);
            const std::uint32_t count = found == runs.end() ? 0 : found->second;
            if (!note.m_isIdempotent && count > 1)
                faults.push_back(note.m_key + " is non-idempotent and ran " + std::to_string(count) + " times");
            if (note.m_outcome == RunOutcome::NotRun && count > 0)
                faults.push_back(note.m_key + " was reported as not run and ran");
            if (note.m_outcome == RunOutcome::Done && count == 0)
                faults.push_back(note.m_key + " was reported as done and did not run");
        }
        std::cout << "history of " << what << ": " << history.at("runs").size() << " runs, " << faults.size() << " faults\n";
        for (std::size_t i = 0; i < std::min(faults.size(), examplesShown); ++i)
            std::cout << "  FAULT " << faults[i] << "\n";
        isGood = isGood && faults.empty();
    }
    return isGood;
}

} // namespace bulrushloft
