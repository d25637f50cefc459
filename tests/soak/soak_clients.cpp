/** @file soak_clients.cpp Submissions with retries, queries and cancellations of the soak's clients. */
#include "soak_clients.h"

#include "stand_in_workers.h"

#include <nlohmann/json.hpp>

namespace bulrushloft::soak {

using Json = nlohmann::json;

namespace {

    constexpr Duration clientPatience { 3'000 };
    constexpr Duration retryDelay { 150 };
    constexpr Duration queryInterval { 700 };
    constexpr int maxTries = 5;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusGone = 410;
    constexpr unsigned statusBusy = 503;
    constexpr unsigned statusTooMany = 429;

    /** @return Whether an answer says that the call had no effect, or the call never reached a daemon. */
    bool isCertainRefusal(const HttpResult& result)
    {
        if (!result)
            return result.error().m_progress != CallProgress::MaybeDelivered;
        return result->m_status == statusBusy || result->m_status == statusTooMany;
    }

} // namespace

SoakClients::SoakClients(EventLoop& loop, const ClientLoad& load, SoakHistory& history, std::uint64_t seed)
    : m_loop(loop)
    , m_client(loop, { .m_connectionsPerAddress = 128, .m_connectTimeout = { 1'000 } })
    , m_load(load)
    , m_history(history)
    , m_random(seed)
{
}

void SoakClients::start()
{
    m_loop.post([this] { submitNext(); });
}

void SoakClients::stop()
{
    m_isStopped = true;
}

const Address& SoakClients::anyEntry()
{
    return m_load.m_entries[static_cast<std::size_t>(randomBetween(0, static_cast<std::int64_t>(m_load.m_entries.size()) - 1))];
}

void SoakClients::send(const std::string& method, const std::string& job, std::string body, std::function<void(HttpResult)> onResult)
{
    HttpCall call { .m_address = anyEntry(), .m_request = { .m_method = method, .m_target = "/q/" + job, .m_headers = { { "Host", "h.example" }, { "Deadline-Ms", std::to_string(clientPatience.m_ms) } }, .m_body = makeBody(std::move(body)) }, .m_timeout = clientPatience };
    m_client.send(std::move(call), std::move(onResult));
}

void SoakClients::submitNext()
{
    if (m_isStopped)
        return;
    submitJob();
    const double meanGapMs = 1'000 / m_load.m_jobsPerSecond;
    const auto gapMs = static_cast<std::int64_t>(std::exponential_distribution<double>(1 / meanGapMs)(m_random));
    if (gapMs > 0)
        return m_loop.runAfter({ gapMs }, [this] { submitNext(); });
    m_loop.post([this] { submitNext(); });
}

void SoakClients::submitBacklog(int jobs)
{
    m_loop.post([this, jobs] {
        for (int i = 0; i < jobs; ++i)
            submitJob();
    });
}

Duration SoakClients::drawRunTime()
{
    constexpr int spreadOfLongRuns = 8; // An eighth to each side.
    const std::int64_t longMs = m_load.m_longRunTime.m_ms;
    if (m_load.m_longRunShare > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < m_load.m_longRunShare)
        return { randomBetween(longMs - longMs / spreadOfLongRuns, longMs + longMs / spreadOfLongRuns) };
    return { randomBetween(m_load.m_runTime.m_ms / 2, m_load.m_runTime.m_ms * 3 / 2) };
}

void SoakClients::submitJob()
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(m_random()));
    const std::string job = text;
    const auto steps = static_cast<std::uint32_t>(randomBetween(1, m_load.m_maxSteps));
    const auto width = static_cast<std::uint32_t>(randomBetween(1, m_load.m_maxWidth));
    const Duration runTime = drawRunTime();
    Json list = Json::array();
    for (std::uint32_t step = 0; step < steps; ++step) {
        Json row { { "count", width }, { "cpu", 1'000 }, { "mem_mb", 1 }, { "estimated_ms", runTime.m_ms } };
        if (step > 0)
            row["after"] = Json::array({ step - 1 });
        list.push_back(std::move(row));
    }
    m_history.onSubmit(job, steps, width);
    submit(job, Json({ { "spec", makePayload(runTime, m_load.m_payloadBytes) }, { "steps", std::move(list) } }).dump(), 0, steadyNow() + clientPatience);
    const bool isCancelled = std::uniform_real_distribution<double>(0, 1)(m_random) < m_load.m_cancelShare;
    if (isCancelled)
        m_loop.runAfter({ randomBetween(100, 1'500) }, [this, job] { cancel(job, 0); });
}

void SoakClients::submit(const std::string& job, const std::string& body, int tries, TimePoint deadline)
{
    send("POST", job, body, [this, job, body, tries, deadline](const HttpResult& result) {
        if (result && result->m_status == statusOk) {
            m_history.onAccepted(job);
            return m_loop.runAfter(queryInterval, [this, job] { query(job); });
        }
        if (!isCertainRefusal(result))
            m_history.onOpenOutcome(job);
        if (tries + 1 >= maxTries || steadyNow() + retryDelay >= deadline)
            return m_history.onRefused(job);
        m_loop.runAfter(retryDelay, [this, job, body, tries, deadline] { submit(job, body, tries + 1, deadline); });
    });
}

void SoakClients::query(const std::string& job)
{
    send("GET", job, {}, [this, job](const HttpResult& result) {
        if (result && result->m_status == statusGone)
            m_history.onNoSuchJob(job);
        std::string state;
        if (result && result->m_status == statusOk)
            state = Json::parse(viewOf(result->m_body)).at("state").get<std::string>();
        if (!state.empty())
            m_history.onState(job, state, m_isDisturbed);
        if (state != "complete" && state != "canceled" && state != "failed")
            m_loop.runAfter(queryInterval, [this, job] { query(job); });
    });
}

void SoakClients::cancel(const std::string& job, int tries)
{
    m_history.onCancelSent(job);
    send("DELETE", job, {}, [this, job, tries](const HttpResult& result) {
        if (result && result->m_status == statusOk)
            return m_history.onCancelled(job);
        const bool isOver = (result && result->m_status == statusGone) || tries + 1 >= maxTries;
        if (!isOver)
            m_loop.runAfter(retryDelay, [this, job, tries] { cancel(job, tries + 1); });
    });
}

} // namespace bulrushloft::soak
