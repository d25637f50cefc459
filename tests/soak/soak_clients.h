/** @file soak_clients.h Clients of the soak: they submit, query and cancel jobs, and record what they are told. */
#pragma once

#include "connection/http_client.h"
#include "soak_history.h"

#include <atomic>
#include <random>

namespace bulrushloft::soak {

/** Load of the clients. */
struct ClientLoad {
    std::vector<Address> m_entries; ///< Addresses at which daemons serve clients.
    double m_jobsPerSecond = 10; ///< Submissions a second.
    std::uint32_t m_maxSteps = 2; ///< Most steps of a job.
    std::uint32_t m_maxWidth = 6; ///< Most tasks of a step.
    Duration m_runTime { 400 }; ///< Mean run time of a task.
    double m_longRunShare = 0; ///< Share of jobs, 0 to 1, whose tasks run for about m_longRunTime.
    Duration m_longRunTime { 16'000 }; ///< Mean run time of these tasks; each is up to an eighth shorter or longer.
    std::size_t m_payloadBytes = 200; ///< Length of a job's payload.
    double m_cancelShare = 0.05; ///< Share of jobs, 0 to 1, that are cancelled.
};

/** Sends the load. Functions run on the thread of the event loop unless stated otherwise. */
class SoakClients {
public:
    SoakClients(EventLoop& loop, const ClientLoad& load, SoakHistory& history, std::uint64_t seed);

    /** Begins to submit; may be called from any thread. */
    void start();

    /** Ends the submissions; open jobs are still followed. May be called from any thread. */
    void stop();

    /** Submits further jobs at once; may be called from any thread. */
    void submitBacklog(int jobs);

    /** Sets whether a fault is in force or was shortly before. */
    void setDisturbed(bool isDisturbed) { m_isDisturbed = isDisturbed; }

private:
    void submitNext();
    void submitJob();
    Duration drawRunTime();
    void submit(const std::string& job, const std::string& body, int tries, TimePoint deadline);
    void query(const std::string& job);
    void cancel(const std::string& job, int tries);
    void send(const std::string& method, const std::string& job, std::string body, std::function<void(HttpResult)> onResult);
    const Address& anyEntry();
    std::int64_t randomBetween(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(m_random); }

    EventLoop& m_loop;
    HttpClient m_client;
    ClientLoad m_load;
    SoakHistory& m_history;
    std::mt19937_64 m_random;
    std::atomic<bool> m_isStopped { false };
    std::atomic<bool> m_isDisturbed { false };
    std::uint64_t m_nextJob = 1;
};

} // namespace bulrushloft::soak
