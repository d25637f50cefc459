/** @file caller_client.h Calls to the daemons with retries through other entry VMs; for tools and tests. */
#pragma once

#include "connection/caller_type.h"
#include "connection/http_client.h"

#include <functional>
#include <vector>

namespace bulrushloft {

/** How a caller reaches the daemons. */
struct CallerClientOptions {
    std::vector<Address> m_entries; ///< Entry VMs, tried in turn.
    Duration m_timeout { 30'000 }; ///< Longest time for an answer, retries included.
    std::uint32_t m_maxAttempts = 5; ///< Most tries of one call.
    Duration m_retryDelay { 200 }; ///< Rest between two tries.
};

/** Sends calls and waits for their answers. */
class CallerClient {
public:
    CallerClient(EventLoop& loop, CallerClientOptions options);

    /**
     * Sends a call; tries other entry VMs when there is no answer or the answer asks for another try.
     * @param call The call; its key makes the tries one piece of work.
     * @param firstEntry Index of the entry VM to try first.
     * @return The last answer, or Unavailable when no entry VM answered.
     */
    Expected<CallerAnswer> call(const CallerCall& call, std::size_t firstEntry = 0);

private:
    EventLoop& m_loop;
    CallerClientOptions m_options;
    HttpClient m_client;
};

} // namespace bulrushloft
