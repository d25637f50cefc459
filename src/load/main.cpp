/** @file main.cpp bulrushload: sends a mixed load to a cell, checks every answer and reports. */
#include "load/load_func.h"

#include "core/event_loop.h"
#include "core/log_func.h"

#include <iostream>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>

DEFINE_string(entries, "127.0.0.1:7400", "Entry VMs, IP:PORT separated by commas");
DEFINE_string(services, "proof,engraving", "Services and pools, separated by commas");
DEFINE_string(teams, "montevideo,salto,paysandu", "Teams, separated by commas");
DEFINE_int64(seconds, 30, "How long requests are sent");
DEFINE_int32(callers, 32, "Callers that send one request after the other");
DEFINE_int64(rest_ms, 50, "Mean rest of a caller between two requests, in ms");
DEFINE_int64(work_ms, 30, "Mean work of a request, in ms at the slowest runner");
DEFINE_double(idempotent_share, 0.5, "Share of idempotent requests");
DEFINE_int32(batch_tasks, 500, "Tasks of the large batch");
DEFINE_int32(gang_tasks, 13, "Tasks of the gang");
DEFINE_uint64(seed, 0, "Seed of all random choices; 0 takes the time");
DEFINE_string(history, "", "IP:PORT of a stand-in that tells what its endpoints really ran; empty to skip that check");

namespace {

constexpr int exitGood = 0;
constexpr int exitWrong = 1;
constexpr int exitBadInput = 2;

std::vector<std::string> splitWords(const std::string& text)
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
    for (const std::string& word : splitWords(FLAGS_entries)) {
        const auto address = bulrushloft::parseAddress(word);
        if (!address)
            return tl::unexpected(address.error());
        options.m_entries.push_back(*address);
    }
    options.m_services = splitWords(FLAGS_services);
    options.m_teams = splitWords(FLAGS_teams);
    if (options.m_entries.empty() || options.m_services.empty() || options.m_teams.empty())
        return bulrushloft::fail(bulrushloft::ErrorKind::InvalidInput, "--entries, --services or --teams is empty", "name at least one of each");
    options.m_length.m_ms = FLAGS_seconds * 1'000;
    options.m_callers = static_cast<std::uint32_t>(FLAGS_callers);
    options.m_rest.m_ms = FLAGS_rest_ms;
    options.m_workMs = FLAGS_work_ms;
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
    bulrushloft::LoadNotes notes;
    std::thread jobs([&] { bulrushloft::sendJobs(options, client, notes); });
    std::thread races([&] { bulrushloft::raceOperators(options, client, loop, notes); });
    bulrushloft::sendRequests(options, client, notes);
    races.join();
    jobs.join();
    bulrushloft::HttpClient http(loop, {});
    bool isGood = bulrushloft::reportNotes(options, notes);
    bulrushloft::reportMetrics(options, http);
    if (const auto history = bulrushloft::parseAddress(FLAGS_history); history)
        isGood = bulrushloft::checkHistory(notes, http, *history) && isGood;
    loop.stop();
    return isGood;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("sends a mixed load to a cell, checks every answer and reports: bulrushload --entries IP:PORT,...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bulrushloft::openLog({ .m_process = "bulrushload" });
    const auto options = readOptions();
    if (!options) {
        std::cerr << "bulrushload: " << bulrushloft::describe(options.error()) << "\n";
        return exitBadInput;
    }
    std::cout << "seed " << options->m_seed << "\n";
    const bool isGood = runLoad(*options);
    std::cout << (isGood ? "GOOD" : "WRONG") << ": seed " << options->m_seed << "\n";
    return isGood ? exitGood : exitWrong;
}
