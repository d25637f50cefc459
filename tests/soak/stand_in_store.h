/** @file stand_in_store.h The platform's metadata store, played over HTTP for daemons on loopback. */
#pragma once

#include "connection/http_server.h"
#include "fake_store.h"

#include <deque>
#include <list>
#include <random>

namespace bulrushloft::soak {

/** How the store misbehaves at present. */
struct StoreFaults {
    bool m_isDown = false; ///< Calls are refused, or stay unanswered when m_isSilent is set.
    bool m_isSilent = false; ///< A store that is down does not answer at all.
    Duration m_delay; ///< Added to the answer of each call.
    double m_lostAnswerShare = 0; ///< Share of appends, 0 to 1, that are carried out but not answered.
    double m_lateAppendShare = 0; ///< Share of appends, 0 to 1, that are carried out seconds later and not answered.
    Duration m_longestLateness { 4'000 }; ///< How long after their arrival those are carried out at most; 1 s at least.
};

/** The store. All functions run on the thread of its event loop. */
class StandInStore {
public:
    StandInStore(EventLoop& loop, std::uint64_t seed);

    /** Starts serving. @return An error when the address can't be bound. */
    Expected<void> listen(const Address& address);

    /** Changes the faults in force. */
    void setFaults(const StoreFaults& faults) { m_faults = faults; }

    /** Appends records on behalf of the operator or a worker, whatever the faults. */
    void write(const std::string& topic, const std::string& key, const std::string& value);

    /** Drops the history of all topics; the newest record of each key stays. */
    void compact() { m_store.compactTopics(); }

private:
    /** A read that waits for a record. */
    struct WaitingRead {
        StoreRead m_read;
        TimePoint m_until; ///< When it is answered without a record.
        HttpResponder m_respond;
    };

    void handle(const HttpRequest& request, const HttpResponder& respond);
    void perform(const HttpRequest& request, const HttpResponder& respond);
    HttpResponse append(const HttpRequest& request);
    void read(const HttpRequest& request, const HttpResponder& respond);
    HttpResponse readNewest(const HttpRequest& request);
    void answerWaiting();
    void poll();

    EventLoop& m_loop;
    HttpServer m_server;
    test::FakeStore m_store;
    StoreFaults m_faults;
    std::list<WaitingRead> m_waiting;
    std::mt19937_64 m_random;
};

} // namespace bulrushloft::soak
