/** @file main.cpp bulrushload: load test that sends requests, jobs and settings changes to a cell, checks every answer and prints a report. */
#include "load/load_func.h"

#include "core/event_loop.h"
#include "core/log_func.h"

#include <iostream>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(entries, "127.0.0.1:7400", "Addresses of the entry VMs, as IP:PORT separated by commas");
DEFINE_string(services, "proof,engraving", "Services to send requests to, separated by commas; the first and the last are also the pools of the jobs");
DEFINE_string(teams, "montevideo,salto,paysandu", "Teams to charge, separated by commas");
DEFINE_int64(seconds, 30, "Duration of the test in seconds; jobs may take longer to end");
DEFINE_int32(callers, 32, "Number of concurrent callers; each sends one request at a time");
DEFINE_int64(rest_ms, 50, "Mean pause of a caller between two requests, in ms");
DEFINE_int64(work_ms, 30, "Mean work of a request, as run time on the slowest runner in ms");
DEFINE_double(idempotent_share, 0.5, "Share of requests that are idempotent, from 0 to 1");
DEFINE_int32(batch_tasks, 500, "Number of tasks of the batch job");
DEFINE_int32(gang_tasks, 13, "Number of tasks of the gang job");
DEFINE_uint64(seed, 0, "Seed of the random generators; 0 to derive it from the current time");
DEFINE_string(history, "", "IP:PORT of the fake platform, to compare the answers with the runs that it recorded; empty to skip that check");

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadInput = 2;

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> words;
    std::istringstream stream(text);
    for (std::string word; std::getline(stream, word, ',');)
        words.push_back(word);
    return words;
}

bulrushloft::Expected<bulrushloft::LoadOptions> readOptions()
{
    bulrushloft::LoadOptions options;
    for (const std::string& word : splitList(FLAGS_entries)) {
        const auto address = bulrushloft::parseAddress(word);
        if (!address)
            return tl::unexpected(address.error());
        options.m_entries.push_back(*address);
    }
    options.m_services = splitList(FLAGS_services);
    options.m_teams = splitList(FLAGS_teams);
    if (options.m_entries.empty() || options.m_services.empty() || options.m_teams.empty())
        return bulrushloft::fail(bulrushloft::ErrorKind::InvalidInput, "--entries, --services or --teams is empty", "give at least one value for each");
    options.m_duration.m_ms = FLAGS_seconds * 1'000;
    options.m_callers = static_cast<std::uint32_t>(FLAGS_callers);
    options.m_meanPause.m_ms = FLAGS_rest_ms;
    options.m_meanWorkMs = FLAGS_work_ms;
    options.m_idempotentShare = FLAGS_idempotent_share;
    options.m_batchTasks = static_cast<std::uint32_t>(FLAGS_batch_tasks);
    options.m_gangTasks = static_cast<std::uint32_t>(FLAGS_gang_tasks);
    options.m_seed = FLAGS_seed != 0 ? FLAGS_seed : static_cast<std::uint64_t>(bulrushloft::wallNow().m_ms);
    return options;
}

bool runLoad(const bulrushloft::LoadOptions& options)
{
    bulrushloft::EventLoop loop("load");
    bulrushloft::CallerClient client(loop, { .m_entries = options.m_entries, .m_maxAttempts = 50 });
    bulrushloft::LoadResults results;
    std::thread jobs([&] { bulrushloft::submitJobs(options, client, results); });
    std::thread races([&] { bulrushloft::runSettingsRaces(options, client, loop, results); });
    bulrushloft::sendRequests(options, client, results);
    races.join();
    jobs.join();
    bulrushloft::HttpClient http(loop, {});
    bool hasPassed = bulrushloft::reportResults(options, results);
    bulrushloft::reportMetrics(options, http);
    if (const auto history = bulrushloft::parseAddress(FLAGS_history); history)
        hasPassed = bulrushloft::checkHistory(results, http, *history) && hasPassed;
    loop.stop();
    return hasPassed;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("sends requests, jobs and settings changes to a cell, checks every answer and prints a report: bulrushload --entries IP:PORT,...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bulrushloft::openLog({ .m_process = "bulrushload" });
    const auto options = readOptions();
    if (!options) {
        std::cerr << "bulrushload: " << bulrushloft::describe(options.error()) << "\n";
        return exitBadInput;
    }
    std::cout << "seed " << options->m_seed << "\n";
    const bool hasPassed = runLoad(*options);
    std::cout << (hasPassed ? "PASSED" : "FAILED") << ": seed " << options->m_seed << "\n";
    return hasPassed ? exitOk : exitFailed;
}
