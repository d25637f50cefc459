/** @file load_jobs.cpp Jobs and settings races of a load test. */
#include "load/load_func.h"

#include "connection/caller_codec.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

namespace bulrushloft {

namespace {

    constexpr Duration maxPollWait { 5'000 };
    constexpr Duration urgentInterval { 1'000 };
    constexpr Duration raceInterval { 4'000 };
    constexpr Duration propagationTimeout { 10'000 };

    JobSpec makeSpec(const LoadOptions& options, const std::string& name, const std::string& pool, JobKind kind)
    {
        JobSpec spec;
        spec.m_key = "load-" + std::to_string(options.m_seed) + "-" + name;
        // The text from "#" on distinguishes the keys of jobs that have the same name.
        spec.m_name = name.substr(0, name.find('#'));
        spec.m_team = options.m_teams.front();
        spec.m_workClass = kind == JobKind::Service ? "service" : "standard";
        spec.m_pool = pool;
        spec.m_kind = kind;
        spec.m_declared = { .m_cpuMilli = 2'000, .m_memoryMb = 1'024, .m_gpus = 0 };
        spec.m_payload = "run_ms=400;cpu=1500;mem=700";
        return spec;
    }

    /** Submits a job and records its id in the result, or the error if it is not accepted. @return The accepted job, or nothing. */
    std::optional<JobView> submit(CallerClient& client, const JobSpec& spec, JobResult& jobResult)
    {
        const auto answer = client.call(SubmitCall { spec });
        const auto* const view = answer ? std::get_if<JobView>(&*answer) : nullptr;
        if (view) {
            jobResult.m_id = format(view->m_id);
            return *view;
        }
        const auto* const error = answer ? std::get_if<ErrorAnswer>(&*answer) : nullptr;
        jobResult.m_state = error ? describe(error->m_error) : "no answer";
        return std::nullopt;
    }

    /** Submits a job, polls until it is in the expected state, has ended or the maximum wait has passed, and records the result. */
    void submitAndWait(const LoadOptions& options, CallerClient& client, const JobSpec& spec, WaitUntil until, JobState expected, LoadResults& results)
    {
        JobResult jobResult { .m_description = std::string(nameOf(spec.m_kind)) + " " + spec.m_name + " of " + std::to_string(spec.m_taskCount) };
        const TimePoint startedAt = steadyNow();
        auto view = submit(client, spec, jobResult);
        while (view && steadyNow() - startedAt < options.m_maxJobWait) {
            const auto answer = client.call(StatusCall { .m_job = view->m_id, .m_until = until, .m_maxWait = maxPollWait });
            const auto* const latest = answer ? std::get_if<JobView>(&*answer) : nullptr;
            if (!latest)
                continue;
            jobResult.m_state = nameOf(latest->m_state);
            const bool isStarted = latest->m_runningCount == spec.m_taskCount;
            jobResult.m_isAsExpected = latest->m_state == expected && (until != WaitUntil::Started || isStarted);
            if (jobResult.m_isAsExpected || isFinal(latest->m_state))
                break;
        }
        jobResult.m_elapsed = steadyNow() - startedAt;
        const std::lock_guard lock(results.m_mutex);
        results.m_jobs.push_back(std::move(jobResult));
    }

    /** Submits small urgent jobs, each after the end of the previous one, until the duration of the test has passed. */
    void submitUrgentJobs(const LoadOptions& options, CallerClient& client, LoadResults& results)
    {
        const TimePoint end = steadyNow() + options.m_duration;
        for (std::uint32_t jobNumber = 0; steadyNow() < end; ++jobNumber) {
            JobSpec spec = makeSpec(options, "urgent-proof#" + std::to_string(jobNumber), options.m_services.front(), JobKind::Batch);
            spec.m_workClass = "urgent";
            spec.m_team = options.m_teams[jobNumber % options.m_teams.size()];
            spec.m_taskCount = 2;
            submitAndWait(options, client, spec, WaitUntil::Ended, JobState::Done, results);
            std::this_thread::sleep_for(std::chrono::milliseconds(urgentInterval.m_ms));
        }
    }

    /** @return Whether every entry VM that answers and has settings has at least this version of them in force. */
    bool isInForce(const LoadOptions& options, HttpClient& client, std::uint64_t version)
    {
        return std::all_of(options.m_entries.begin(), options.m_entries.end(), [&](const Address& entry) {
            const SettingsGetCall call { "cell/limits" };
            const HttpResult result = sendAndWait(client, { .m_address = entry, .m_request = encodeCallerCall(call), .m_timeout = { 1'000 } });
            const auto answer = result ? decodeCallerAnswer(call, *result) : Expected<CallerAnswer>(fail(ErrorKind::Unavailable, "", ""));
            const auto* const settings = answer ? std::get_if<SettingsAnswer>(&*answer) : nullptr;
            return !settings || settings->m_version == 0 || settings->m_version >= version;
        });
    }

    /** Publishes two changes with the same base revision at the same time and waits until the accepted one is in force everywhere. */
    void runRace(const LoadOptions& options, CallerClient& client, HttpClient& http, std::uint32_t round, LoadResults& results)
    {
        const std::string path = "teams/" + options.m_teams.back();
        const auto answer = client.call(SettingsGetCall { path });
        const auto* const settings = answer ? std::get_if<SettingsAnswer>(&*answer) : nullptr;
        if (!settings || settings->m_subtrees.empty())
            return;
        const Subtree subtree = settings->m_subtrees.front().m_subtree;
        std::atomic<std::uint32_t> accepted { 0 };
        std::atomic<std::uint32_t> conflicts { 0 };
        std::atomic<std::uint64_t> revision { 0 };
        std::vector<std::thread> operators;
        for (std::uint32_t operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
            operators.emplace_back([&, operatorIndex] {
                SettingsChange change { .m_id = "race-" + std::to_string(options.m_seed) + "-" + std::to_string(round) + "-" + std::to_string(operatorIndex), .m_operator = operatorIndex == 0 ? "morning" : "afternoon", .m_path = path, .m_baseRevision = subtree.m_revision, .m_yaml = "weight: " + std::to_string(round % 5 + 1 + operatorIndex) + "\n" };
                const auto result = client.call(SettingsChangeCall { change }, operatorIndex);
                const auto* const changeAnswer = result ? std::get_if<ChangeAnswer>(&*result) : nullptr;
                if (changeAnswer && changeAnswer->m_record.m_verdict == ChangeVerdict::Accepted) {
                    ++accepted;
                    revision = changeAnswer->m_record.m_revision.m_value;
                } else if (changeAnswer && changeAnswer->m_record.m_verdict == ChangeVerdict::Conflict) {
                    ++conflicts;
                }
            });
        }
        for (std::thread& operatorThread : operators)
            operatorThread.join();
        RaceResult raceResult { .m_acceptedCount = accepted, .m_conflictCount = conflicts };
        const TimePoint acceptedAt = steadyNow();
        while (!raceResult.m_isInForceEverywhere && steadyNow() - acceptedAt < propagationTimeout) {
            // The revision of an accepted change is also the version of the settings that it creates.
            raceResult.m_isInForceEverywhere = isInForce(options, http, revision);
            if (!raceResult.m_isInForceEverywhere)
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        raceResult.m_propagationTime = steadyNow() - acceptedAt;
        const std::lock_guard lock(results.m_mutex);
        results.m_races.push_back(raceResult);
    }

} // namespace

void submitJobs(const LoadOptions& options, CallerClient& client, LoadResults& results)
{
    const std::string& firstPool = options.m_services.front();
    const std::string& lastPool = options.m_services.back();
    JobSpec service = makeSpec(options, "archive-watcher", firstPool, JobKind::Service);
    service.m_taskCount = 6;
    service.m_payload = "run_ms=0";
    JobSpec batch = makeSpec(options, "nightly-layout", firstPool, JobKind::Batch);
    batch.m_workClass = "nightly";
    batch.m_taskCount = options.m_batchTasks;
    JobSpec gang = makeSpec(options, "plate-render", lastPool, JobKind::Gang);
    gang.m_taskCount = options.m_gangTasks;
    gang.m_declared = { .m_cpuMilli = 4'000, .m_memoryMb = 8'192, .m_gpus = 1 };
    gang.m_payload = "run_ms=1500;cpu=3000;mem=6000";
    std::vector<std::thread> jobThreads;
    jobThreads.emplace_back([&] { submitAndWait(options, client, service, WaitUntil::Started, JobState::Running, results); });
    jobThreads.emplace_back([&] { submitAndWait(options, client, batch, WaitUntil::Ended, JobState::Done, results); });
    jobThreads.emplace_back([&] { submitAndWait(options, client, gang, WaitUntil::Ended, JobState::Done, results); });
    jobThreads.emplace_back([&] { submitUrgentJobs(options, client, results); });
    for (std::thread& jobThread : jobThreads)
        jobThread.join();
}

void runSettingsRaces(const LoadOptions& options, CallerClient& client, EventLoop& loop, LoadResults& results)
{
    HttpClient http(loop, {});
    const TimePoint end = steadyNow() + options.m_duration;
    for (std::uint32_t round = 0; steadyNow() < end; ++round) {
        runRace(options, client, http, round, results);
        std::this_thread::sleep_for(std::chrono::milliseconds(raceInterval.m_ms));
    }
}

} // namespace bulrushloft
