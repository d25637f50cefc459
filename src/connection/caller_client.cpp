/** @file caller_client.cpp Client of the callers' API with retries. */
#include "connection/caller_client.h"

#include "connection/caller_codec.h"

#include <algorithm>
#include <thread>

namespace bulrushloft {

namespace {

    /** Added to the deadline of a run call so that an answer sent at the deadline still arrives. */
    constexpr Duration answerMargin { 2'000 };

    bool isRetryable(const CallerAnswer& answer)
    {
        const auto* const error = std::get_if<ErrorAnswer>(&answer);
        return error && error->m_retryAfter.m_ms > 0 && error->m_error.m_kind == ErrorKind::Unavailable;
    }

    /** Marks a call as a retry, because an earlier attempt may have reached a daemon. @param age Time since the first attempt. */
    void markRetry(CallerCall& call, Duration age)
    {
        if (auto* const submit = std::get_if<SubmitCall>(&call))
            ++submit->m_attempt;
        auto* const run = std::get_if<RunCall>(&call);
        if (!run)
            return;
        ++run->m_attempt;
        run->m_age = age;
    }

    /** @return The time limit for the answer to one attempt. */
    Duration answerTimeout(const CallerCall& call, Duration timeout)
    {
        if (const auto* run = std::get_if<RunCall>(&call))
            return run->m_deadline + answerMargin;
        if (const auto* status = std::get_if<StatusCall>(&call))
            return timeout + status->m_maxWait;
        return timeout;
    }

} // namespace

CallerClient::CallerClient(EventLoop& loop, CallerClientOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_client(m_loop, { .m_connectionsPerAddress = 1024 })
{
}

Expected<CallerAnswer> CallerClient::call(const CallerCall& call, std::size_t firstEntry)
{
    CallerCall attempt = call;
    const TimePoint startedAt = steadyNow();
    Expected<CallerAnswer> last = fail(ErrorKind::Unavailable, "no entry VM answered", "check the addresses and that the daemons are running");
    for (std::uint32_t tryIndex = 0; tryIndex < m_options.m_maxAttempts && steadyNow() - startedAt < m_options.m_timeout; ++tryIndex) {
        if (tryIndex > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(m_options.m_retryDelay.m_ms));
        HttpCall http { .m_address = m_options.m_entries[(firstEntry + tryIndex) % m_options.m_entries.size()], .m_request = encodeCallerCall(attempt), .m_timeout = answerTimeout(attempt, m_options.m_timeout) };
        const HttpResult result = sendAndWait(m_client, std::move(http));
        if (!result) {
            if (result.error().m_progress == CallProgress::MaybeDelivered)
                markRetry(attempt, steadyNow() - startedAt);
            continue;
        }
        last = decodeCallerAnswer(attempt, *result);
        if (last && !isRetryable(*last))
            return last;
        if (!last)
            markRetry(attempt, steadyNow() - startedAt);
    }
    return last;
}

} // namespace bulrushloft
