/** @file caller_client.h Client of the callers' API that retries through other entry VMs; for tools and tests. */
#pragma once

#include "connection/caller_type.h"
#include "connection/http_client.h"

#include <functional>
#include <vector>

namespace bulrushloft {

/** Addresses, timeouts and retry limits of a CallerClient. */
struct CallerClientOptions {
    std::vector<Address> m_entries; ///< Entry VMs, tried in turn; must not be empty.
    Duration m_timeout { 30'000 }; ///< Time limit of one attempt; a status call adds its wait, a run call uses its deadline instead. Once it has passed since the first attempt, there are no more retries.
    std::uint32_t m_maxAttempts = 5; ///< Maximum number of attempts per call.
    Duration m_retryDelay { 200 }; ///< Pause between two attempts.
};

/** Sends calls and blocks until they are answered. */
class CallerClient {
public:
    CallerClient(EventLoop& loop, CallerClientOptions options);

    /**
     * Sends a call; retries through other entry VMs when there is no answer or the answer asks for a retry.
     * @param call The call; all attempts carry its key, so the daemons treat them as one request or job.
     * @param firstEntry Index of the entry VM to try first.
     * @return The last answer, an Unavailable error when no entry VM answered, or a BrokenAnswer error when the last answer was malformed.
     */
    Expected<CallerAnswer> call(const CallerCall& call, std::size_t firstEntry = 0);

private:
    EventLoop& m_loop;
    CallerClientOptions m_options;
    HttpClient m_client;
};

} // namespace bulrushloft
