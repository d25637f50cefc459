/** @file load_requests.cpp Requests of the load tool. */
#include "load/load_func.h"

#include "connection/runner_codec.h"

#include <random>
#include <thread>

namespace bulrushloft {

namespace {

    constexpr Duration requestDeadline { 15'000 };
    constexpr std::size_t largestBodyBytes = 20'000;
    constexpr std::size_t largestAnswerBytes = 20'000;

    /** One request and what its answer has to be. */
    struct Plan {
        RunCall m_call; ///< What is sent.
        std::string m_expected; ///< The whole answer.
    };

    Plan makePlan(const LoadOptions& options, std::uint32_t caller, std::uint64_t number, std::mt19937_64& random)
    {
        Plan plan;
        RunCall& call = plan.m_call;
        call.m_service = options.m_services[random() % options.m_services.size()];
        call.m_team = options.m_teams[random() % options.m_teams.size()];
        call.m_workClass = random() % 5 == 0 ? "urgent" : "standard";
        call.m_key = "load-" + std::to_string(options.m_seed) + "-" + std::to_string(caller) + "-" + std::to_string(number);
        call.m_isIdempotent = std::uniform_real_distribution<double>(0, 1)(random) < options.m_idempotentShare;
        call.m_deadline = requestDeadline;
        const std::int64_t work = std::uniform_int_distribution<std::int64_t>(1, options.m_workMs * 2)(random);
        const std::size_t answerBytes = random() % largestAnswerBytes;
        call.m_target = "work_ms=" + std::to_string(work) + ";answer_bytes=" + std::to_string(answerBytes);
        call.m_body = makeBody(std::string(random() % largestBodyBytes, static_cast<char>('a' + random() % 26)));
        plan.m_expected = call.m_key + "|" + digestOf(viewOf(call.m_body)) + "|" + std::string(answerBytes, 'x');
        return plan;
    }

    RequestNote judge(const Plan& plan, const Expected<CallerAnswer>& answer)
    {
        RequestNote note { .m_key = plan.m_call.m_key, .m_isIdempotent = plan.m_call.m_isIdempotent };
        if (!answer) {
            note.m_error = describe(answer.error());
            return note;
        }
        if (const auto* run = std::get_if<RunAnswer>(&*answer)) {
            note.m_outcome = run->m_outcome;
            note.m_isWrong = run->m_outcome == RunOutcome::Done && viewOf(run->m_body) != plan.m_expected;
            note.m_error = run->m_error.m_message;
        } else if (const auto* error = std::get_if<ErrorAnswer>(&*answer)) {
            note.m_outcome = error->m_outcome;
            note.m_error = describe(error->m_error);
        } else {
            note.m_isWrong = true;
        }
        return note;
    }

    void runCaller(const LoadOptions& options, CallerClient& client, std::uint32_t caller, LoadNotes& notes)
    {
        std::mt19937_64 random(options.m_seed * 7919 + caller);
        std::exponential_distribution<double> rest(1.0 / static_cast<double>(std::max<std::int64_t>(options.m_rest.m_ms, 1)));
        const TimePoint end = steadyNow() + options.m_length;
        for (std::uint64_t number = 0; steadyNow() < end; ++number) {
            const Plan plan = makePlan(options, caller, number, random);
            const TimePoint startedAt = steadyNow();
            const auto answer = client.call(plan.m_call, random() % options.m_entries.size());
            RequestNote note = judge(plan, answer);
            note.m_latency = steadyNow() - startedAt;
            {
                const std::lock_guard lock(notes.m_mutex);
                notes.m_requests.push_back(std::move(note));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<std::int64_t>(rest(random))));
        }
    }

} // namespace

void sendRequests(const LoadOptions& options, CallerClient& client, LoadNotes& notes)
{
    std::vector<std::thread> callers;
    for (std::uint32_t caller = 0; caller < options.m_callers; ++caller)
        callers.emplace_back([&options, &client, &notes, caller] { runCaller(options, client, caller, notes); });
    for (std::thread& caller : callers)
        caller.join();
}

} // namespace bulrushloft
