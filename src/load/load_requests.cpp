/** @file load_requests.cpp Generation of requests and checks of their answers. */
#include "load/load_func.h"

#include "connection/runner_codec.h"

#include <random>
#include <thread>

namespace bulrushloft {

namespace {

    constexpr Duration requestDeadline { 15'000 };
    constexpr std::size_t maxBodyBytes = 20'000;
    constexpr std::size_t maxAnswerBytes = 20'000;

    /** A request and its expected answer. */
    struct PlannedRequest {
        RunCall m_call; ///< Call to send.
        std::string m_expectedAnswer; ///< Complete body that the runner must return.
    };

    PlannedRequest planRequest(const LoadOptions& options, std::uint32_t caller, std::uint64_t requestNumber, std::mt19937_64& random)
    {
        PlannedRequest planned;
        RunCall& call = planned.m_call;
        call.m_service = options.m_services[random() % options.m_services.size()];
        call.m_team = options.m_teams[random() % options.m_teams.size()];
        call.m_workClass = random() % 5 == 0 ? "urgent" : "standard";
        call.m_key = "load-" + std::to_string(options.m_seed) + "-" + std::to_string(caller) + "-" + std::to_string(requestNumber);
        call.m_isIdempotent = std::uniform_real_distribution<double>(0, 1)(random) < options.m_idempotentShare;
        call.m_deadline = requestDeadline;
        const std::int64_t workMs = std::uniform_int_distribution<std::int64_t>(1, options.m_meanWorkMs * 2)(random);
        const std::size_t answerBytes = random() % maxAnswerBytes;
        call.m_target = "work_ms=" + std::to_string(workMs) + ";answer_bytes=" + std::to_string(answerBytes);
        call.m_body = makeBody(std::string(random() % maxBodyBytes, static_cast<char>('a' + random() % 26)));
        planned.m_expectedAnswer = call.m_key + "|" + digestOf(viewOf(call.m_body)) + "|" + std::string(answerBytes, 'x');
        return planned;
    }

    /** Compares an answer with the expected one. @return The result, without its latency. */
    RequestResult checkAnswer(const PlannedRequest& planned, const Expected<CallerAnswer>& answer)
    {
        RequestResult result { .m_key = planned.m_call.m_key, .m_isIdempotent = planned.m_call.m_isIdempotent };
        if (!answer) {
            result.m_error = describe(answer.error());
            return result;
        }
        if (const auto* run = std::get_if<RunAnswer>(&*answer)) {
            result.m_outcome = run->m_outcome;
            result.m_isWrongAnswer = run->m_outcome == RunOutcome::Done && viewOf(run->m_body) != planned.m_expectedAnswer;
            result.m_error = run->m_error.m_message;
        } else if (const auto* error = std::get_if<ErrorAnswer>(&*answer)) {
            result.m_outcome = error->m_outcome;
            result.m_error = describe(error->m_error);
        } else {
            result.m_isWrongAnswer = true;
        }
        return result;
    }

    /** Sends requests one after the other, with random pauses between them, until the duration of the test has passed. */
    void runCaller(const LoadOptions& options, CallerClient& client, std::uint32_t caller, LoadResults& results)
    {
        // Different callers and seeds get different generators as long as there are fewer than 7919 callers.
        std::mt19937_64 random(options.m_seed * 7919 + caller);
        std::exponential_distribution<double> pause(1.0 / static_cast<double>(std::max<std::int64_t>(options.m_meanPause.m_ms, 1)));
        const TimePoint end = steadyNow() + options.m_duration;
        for (std::uint64_t requestNumber = 0; steadyNow() < end; ++requestNumber) {
            const PlannedRequest planned = planRequest(options, caller, requestNumber, random);
            const TimePoint startedAt = steadyNow();
            const auto answer = client.call(planned.m_call, random() % options.m_entries.size());
            RequestResult result = checkAnswer(planned, answer);
            result.m_latency = steadyNow() - startedAt;
            {
                const std::lock_guard lock(results.m_mutex);
                results.m_requests.push_back(std::move(result));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<std::int64_t>(pause(random))));
        }
    }

} // namespace

void sendRequests(const LoadOptions& options, CallerClient& client, LoadResults& results)
{
    std::vector<std::thread> callers;
    for (std::uint32_t caller = 0; caller < options.m_callers; ++caller)
        callers.emplace_back([&options, &client, &results, caller] { runCaller(options, client, caller, results); });
    for (std::thread& caller : callers)
        caller.join();
}

} // namespace bulrushloft
