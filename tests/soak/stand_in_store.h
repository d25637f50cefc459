/** @file stand_in_store.h The platform's metadata store, played over HTTP for daemons on loopback. */
#pragma once

#include "connection/http_server.h"
#include "fake_store.h"
#include "partition_queue.h"

#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>

namespace bulrushloft::soak {

/** How the store misbehaves at present. */
struct StoreFaults {
    bool m_isDown = false; ///< Calls are refused, or stay unanswered when m_isSilent is set.
    bool m_isSilent = false; ///< A store that is down does not answer at all.
    Duration m_delay; ///< Added to the way of each call to the store.
    int m_slowness = 1; ///< Factor of m_appendTime and m_answerTime.
    Duration m_appendTime { 2 }; ///< Time that a partition needs for one append.
    Duration m_answerTime { 4 }; ///< Time from the result of a call to its answer.
    double m_lostAnswerShare = 0; ///< Share of appends, 0 to 1, that are carried out but not answered.
    double m_lateAppendShare = 0; ///< Share of appends, 0 to 1, that are carried out seconds later and not answered.
    std::set<StorePartition> m_silentPartitions; ///< Partitions whose calls stay unanswered and are not carried out, while others answer.
    double m_silentShare = 0; ///< Share of all partitions, 0 to 1, that are silent too.
    std::uint64_t m_silentDraw = 0; ///< Decides which partitions that share holds.
    Duration m_longestLateness { 4'000 }; ///< How long after their arrival those are carried out at most, unless others wait before them; 1 s at least.
};

/**
 * The store. A partition carries out its appends one at a time, refuses further ones when more than maxAppendWait is waiting, and answers
 * reads after the appends that arrived before them. All functions run on the thread of its event loop.
 */
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

    /** Begins to measure the longest wait of each partition anew. */
    void watchWaits();

    /** @return Name of the daemon that has claimed a term; empty if none has. */
    std::string claimantOf(std::uint64_t token) const;

    /** @return Fencing token of the newest term; 0 before the first. */
    std::uint64_t newestToken() const { return m_claimants.empty() ? 0 : m_claimants.rbegin()->first; }

    /** @return Queues by partition. */
    std::map<StorePartition, test::PartitionQueue>& queues() { return m_queues; }

    /** @return Number of calls that silent partitions left unanswered, by partition. */
    const std::map<StorePartition, std::uint64_t>& unansweredCalls() const { return m_unansweredCalls; }

private:
    /** A read that waits for a record. */
    struct WaitingRead {
        StoreRead m_read;
        TimePoint m_until; ///< When it is answered without a record.
        HttpResponder m_respond;
    };

    bool isSilent(const StorePartition& partition) const;
    void handle(const HttpRequest& request, const HttpResponder& respond);
    /** @return Queue of the partition that a call is for, with the present time of an append. */
    test::PartitionQueue& queueOf(const HttpRequest& request);
    void queueAppend(const HttpRequest& request, const HttpResponder& respond);
    void queueLateAppend(const HttpRequest& request);
    void queueRead(const HttpRequest& request, const HttpResponder& respond);
    void sendAnswer(const HttpResponder& respond, HttpResponse response);
    HttpResponse append(const HttpRequest& request);
    void noteClaims(const StoreAppend& append, std::uint64_t offset);
    void read(const HttpRequest& request, const HttpResponder& respond);
    HttpResponse readNewest(const HttpRequest& request);
    void answerWaiting();
    void poll();

    EventLoop& m_loop;
    HttpServer m_server;
    test::FakeStore m_store;
    StoreFaults m_faults;
    std::map<StorePartition, test::PartitionQueue> m_queues;
    std::list<WaitingRead> m_waiting;
    std::map<StorePartition, std::uint64_t> m_unansweredCalls;
    std::map<std::uint64_t, std::string> m_claimants; ///< Names of the daemons that have claimed terms, by the terms' fencing tokens.
    std::mt19937_64 m_random;
};

} // namespace bulrushloft::soak
