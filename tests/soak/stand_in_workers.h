/** @file stand_in_workers.h The platform's workers and its approval service, played over HTTP for daemons on loopback. */
#pragma once

#include "connection/http_server.h"
#include "fake_approvals.h"
#include "fake_lease_worker.h"
#include "fault_proxy.h"
#include "stand_in_store.h"

#include <memory>
#include <set>

namespace bulrushloft::soak {

/** What the workers observe; called on the event loop's thread. */
struct WorkerObserver {
    std::function<void(const std::string& worker, const TaskName&, std::uint32_t attempt)> m_onStart; ///< An attempt is about to start.
    std::function<void(const std::string& worker, const TaskName&, std::uint32_t attempt, AttemptEnd)> m_onEnd; ///< An attempt has ended.
    std::function<void(const std::string& worker, const EndedAttempt&)> m_onAck; ///< The leader has acknowledged an end.
};

/** Number and size of the workers. */
struct WorkerFleet {
    std::string m_pool = "pool"; ///< Pool of all workers.
    int m_count = 8; ///< Number of workers; each listens on an address of its own.
    int m_network = 10; ///< Second number of their loopback addresses.
    std::int64_t m_cpuMilli = 8'000; ///< Capacity of each worker in thousandths of a core.
    std::int64_t m_taskCpuMilli = 1'000; ///< CPU use of each task, for the check of the capacity.
    bool m_needsTickets = false; ///< Whether starts need a ticket of the approval service.
    std::size_t m_connectionLimit = 0; ///< Connections that each worker accepts, by way of a proxy; 0 for no limit and no proxies.
    double m_lateOrderShare = 0; ///< Share of orders, 0 to 1, that are not answered and carried out seconds later.
};

/** The workers. All functions run on the thread of their event loop. */
class StandInWorkers {
public:
    /** @param loop Loop of the workers. @param proxyLoop Loop of the proxies before them. */
    StandInWorkers(EventLoop& loop, EventLoop& proxyLoop, StandInStore& store, const WorkerFleet& fleet, WorkerObserver observer, std::uint64_t seed);
    ~StandInWorkers();

    /** Starts serving and announces all workers. @return An error when an address can't be bound. */
    Expected<void> listen();

    /** Ends a worker's process; it starts again after a time, without anything that it held. Behind a proxy its connections are reset, unless it ends in the dark. */
    void crash(int index, Duration downFor, bool isDark = false);

    /** @return The proxies before the workers; none if their connections are not limited. Set from listen() on; may be called from any thread. */
    std::vector<FaultProxy*> proxies() const;

    /** A worker stops answering for a time; what it runs goes on. */
    void silence(int index, Duration length);

    /** @return A ticket for a step on the present process of a worker; nothing if the worker is not approved for it, which never changes. At least one is approved. */
    std::optional<std::string> approve(const std::string& step, const std::string& worker) const;

    /**
     * Cuts the workers off from one of two sides: about half of them receive only orders of terms that a cut daemon has claimed, the others only
     * those of the other terms. What they run goes on. An empty set ends the cut.
     */
    void cut(std::set<std::string> daemons);

    /** Sets the share of orders that are carried out late. */
    void setLateOrderShare(double share) { m_fleet.m_lateOrderShare = share; }

private:
    struct Member;

    bool isReachedBy(const Member& member, std::uint64_t token) const;
    void handle(Member& member, const HttpRequest& request, const HttpResponder& respond);
    void perform(Member& member, const HttpRequest& request, const HttpResponder& respond);
    void answerHolds(Member& member, bool isForced);
    void announce(const Member& member);
    void tick();

    EventLoop& m_loop;
    EventLoop& m_proxyLoop;
    StandInStore& m_store;
    WorkerFleet m_fleet;
    WorkerObserver m_observer;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Member>> m_members;
    std::set<std::string> m_cutDaemons; ///< Daemons on the cut side; empty while there is no cut.
};

/** Answers approval requests. */
class StandInApprovals {
public:
    StandInApprovals(EventLoop& loop, const StandInWorkers& workers);

    /** Starts serving. @return An error when the address can't be bound. */
    Expected<void> listen(const Address& address);

private:
    EventLoop& m_loop;
    const StandInWorkers& m_workers;
    HttpServer m_server;
};

/** @return The payload of a task that runs for a time; padded to a length in bytes. */
std::string makePayload(Duration runTime, std::size_t length);

} // namespace bulrushloft::soak
