/** @file store_traffic.h Counts of this daemon's calls to each partition of the store: what is sent, answered, refused and left unanswered. */
#pragma once

#include "connection/store_type.h"

#include <cstdint>
#include <deque>
#include <map>

namespace bulrushloft::cell {

/** Calls of one kind, appends or reads, to one partition. */
struct CallTraffic {
    std::uint64_t m_sent = 0; ///< Calls sent.
    std::uint64_t m_done = 0; ///< Calls that were carried out and answered.
    std::uint64_t m_refused = 0; ///< Calls that certainly had no effect; the partition is overloaded or the store can't be reached.
    std::uint64_t m_rejected = 0; ///< Calls whose condition, epoch, sequence number or offset did not hold.
    std::uint64_t m_unanswered = 0; ///< Calls given up without an answer; the store may still carry them out.
    std::deque<TimePoint> m_open; ///< When the calls were sent that are neither answered nor given up, the earliest first.
    std::deque<TimePoint> m_givenUp; ///< When the calls were sent that were lately given up without an answer, the earliest first.
    Duration m_latency; ///< Time to the latest answer of a call that was carried out; zero before the first.
};

/** Calls to one partition. */
struct PartitionTraffic {
    CallTraffic m_appends; ///< Appends.
    CallTraffic m_reads; ///< Reads and listings.
    CallTraffic m_reported; ///< Counts of the appends when they were last logged; only its counters are used.
    std::uint64_t m_reportedUnansweredReads = 0; ///< The same for reads that were given up.
};

/** All partitions that this daemon has called. */
struct StoreTraffic {
    std::map<StorePartition, PartitionTraffic> m_partitions; ///< Traffic of each partition.
    TimePoint m_nextReportAt; ///< When the traffic is next logged.
};

/** Counts a call that is sent. */
void onCallSent(CallTraffic& traffic, TimePoint now);

/** Counts the answer to a call, or that it was given up (StoreStatus::Unknown). @param sentAt When it was sent. */
void onCallAnswered(CallTraffic& traffic, StoreStatus status, TimePoint sentAt, TimePoint now);

/** Once a second logs the partitions whose calls are refused or left unanswered. */
void reportTraffic(StoreTraffic& traffic, TimePoint now);

} // namespace bulrushloft::cell
