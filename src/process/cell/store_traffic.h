/** @file store_traffic.h Counts of this daemon's calls to each partition of the store: what is sent, answered, refused and left unanswered. */
#pragma once

#include "connection/store_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

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
    Duration m_latency; ///< Time to the latest answer of a call that was carried out or rejected; zero before the first.
    TimePoint m_answeredAt; ///< When that answer came.
    TimePoint m_lastSentAt; ///< When the latest call was sent.
    std::optional<TimePoint> m_unansweredSince; ///< When the earliest call was sent that nothing has answered since; empty when none is missing.
    std::optional<TimePoint> m_undoneSince; ///< The same, but refusals are no answers.
    std::uint32_t m_sentSinceAnswer = 0; ///< Calls sent after the latest answer.
    std::uint32_t m_refusalsInRow = 0; ///< Refusals since a call was last carried out or rejected.
};

/** A period in which a partition has carried out nothing and that has been logged, see partition_silence.h. */
struct ReportedSilence {
    TimePoint m_since; ///< When the earliest call was sent that has not been carried out.
    TimePoint m_nextReportAt; ///< When it is next logged.
    std::uint64_t m_appendsGivenUp = 0; ///< PartitionTraffic::m_appends.m_unanswered when it was first logged.
    std::uint64_t m_readsGivenUp = 0; ///< The same of m_reads.
    std::uint64_t m_refused = 0; ///< Refusals of both kinds by then.
};

/** Calls to one partition. */
struct PartitionTraffic {
    CallTraffic m_appends; ///< Appends.
    CallTraffic m_reads; ///< Reads and listings.
    CallTraffic m_reported; ///< Counts of the appends when they were last logged; only its counters are used.
    std::uint64_t m_reportedUnansweredReads = 0; ///< The same for reads that were given up.
    std::optional<ReportedSilence> m_reportedSilence; ///< The present silence once it was logged.
};

/** All partitions that this daemon has called. */
struct StoreTraffic {
    std::map<StorePartition, PartitionTraffic> m_partitions; ///< Traffic of each partition.
    TimePoint m_nextReportAt; ///< When the traffic is next logged.
    TimePoint m_nextSilenceCheckAt; ///< When it is next checked which partitions are silent.
};

/** Counts a call that is sent. */
void onCallSent(CallTraffic& traffic, TimePoint now);

/** Counts the answer to a call, or that it was given up (StoreStatus::Unknown). @param sentAt When it was sent. */
void onCallAnswered(CallTraffic& traffic, StoreStatus status, TimePoint sentAt, TimePoint now);

/** @return Time to the latest answer of an append, bounded, longer with each refusal since, as a partition refuses what it can't carry out soon. @param initial Estimate before the first answer. */
Duration answeredLatency(const CallTraffic& appends, Duration initial);

/** @return For how long nothing has answered appends that the partition may still have to carry out; zero when none is missing. */
Duration silenceOf(const CallTraffic& appends, TimePoint now);

/** @return For how long no call was carried out, while some were sent; zero when none is missing. Other than in silenceOf(), refusals are no answers. */
Duration undoneTime(const CallTraffic& traffic, TimePoint now);

/**
 * Estimates the time to the answer of the next append to a partition, which carries out one at a time: answeredLatency(), or longer once
 * appends have stayed unanswered for a multiple of it, as the partition may have to carry out many before; a second at most.
 * @param initial Estimate before the first answer.
 */
Duration expectedLatency(const CallTraffic& appends, Duration initial, TimePoint now);

/**
 * @param writers How many times as long as for a single writer.
 * @return Time to leave between two appends, two seconds at most. A sender that waits for an answer's time between two appends adds about
 * one to the partition's queue, whatever becomes of the answers.
 */
Duration pauseBetweenAppends(const CallTraffic& appends, Duration initial, std::int64_t writers, TimePoint now);

/** Once a second logs the partitions whose calls are refused or left unanswered. */
void reportTraffic(StoreTraffic& traffic, TimePoint now);

} // namespace bulrushloft::cell
