/** @file append_pipeline.h Pipeline of a fenced writer's appends; several may be in flight while the store is slow. */
#pragma once

#include "connection/store_type.h"

#include <deque>
#include <vector>

namespace bulrushloft::cell {

/** One call to the store for an append. */
struct AppendAttempt {
    std::uint64_t m_sequence = 0; ///< Sequence number of the append.
    std::uint64_t m_number = 0; ///< Counts the attempts of a pipeline, from 1.
    TimePoint m_sentAt; ///< When it was sent.
};

/** An append that the store has not confirmed yet. */
struct PipelinedAppend {
    StoreAppend m_append; ///< The records, with the writer and its sequence number.
    std::uint64_t m_batch = 0; ///< Number of the batch whose last part this is; 0 when more parts follow.
    TimePoint m_firstSentAt; ///< Time of the first attempt.
    AppendAttempt m_latest; ///< The latest attempt; its number is 0 when none was sent.
    std::uint32_t m_attempts = 0; ///< Number of attempts so far.
    std::uint32_t m_unanswered = 0; ///< Number of attempts whose time was over without an answer.
    std::uint32_t m_hedges = 0; ///< Number of attempts that were sent beside unanswered ones.
    std::vector<AppendAttempt> m_inFlight; ///< Attempts without an answer, the earliest first.
    TimePoint m_notBefore; ///< Earliest time of the next attempt after a failed one.
};

/** How the latest append came to be confirmed; for the log. */
struct AppendConfirmation {
    Duration m_age; ///< Time from its first attempt to its confirmation.
    std::uint32_t m_attempts = 0; ///< Number of its attempts.
};

/** The unconfirmed appends of a writer, in the order of their sequence numbers. */
struct AppendPipeline {
    FencedWriter m_writer; ///< Name, epoch, and the sequence number of the latest append.
    std::deque<PipelinedAppend> m_queue; ///< Unconfirmed appends, the oldest first.
    TimePoint m_lastSentAt; ///< Time of the latest attempt of any append.
    std::uint64_t m_attempts = 0; ///< Number of the latest attempt of any append.
    std::uint64_t m_attemptsBeforeOldest = 0; ///< Value of m_attempts when the oldest append became the oldest.
    std::deque<TimePoint> m_lastSends; ///< When the latest attempts of any append were sent, the earliest first; a few are kept.
    std::vector<AppendAttempt> m_pending; ///< Attempts of any append without an answer that have not been overtaken, the earliest first.
    std::uint32_t m_answeredInOrder = 0; ///< Attempts that the store has carried out since an answer last overtook an earlier attempt.
    std::uint32_t m_openAttempts = 0; ///< Attempts without an answer, also those of confirmed appends; each holds a connection.
    std::uint32_t m_refusals = 0; ///< How often the store has refused the oldest append (StoreStatus::NotDone) with no other attempt in flight; 0 after each confirmation.
    std::uint32_t m_refusalsInRow = 0; ///< How often the store has refused an append since it last confirmed one.
    Duration m_lastLatency; ///< Time from an attempt to its own answer, for the latest attempt that confirmed an append.
    std::deque<Duration> m_latencies; ///< The latest values of m_lastLatency, the newest last.
    std::uint64_t m_confirmations = 0; ///< Number of answers that have confirmed an append.
    std::optional<TimePoint> m_lossSeenAt; ///< When an attempt was last answered before an earlier one; empty after several in order.
    AppendConfirmation m_lastConfirmation; ///< Of the latest confirmed append.
    bool m_isAttemptRequested = false; ///< See requestAttempt().
    std::uint64_t m_confirmedBatch = 0; ///< Number of the latest batch that the store has confirmed; 0 for none.
};

/** What the writer has to do after an answer. */
enum class AppendOutcome : std::uint8_t {
    Proceed, ///< The writer goes on; an append that failed is repeated.
    Fenced, ///< The store knows a writer of a later epoch; the term is over.
    SequenceMismatch, ///< The store expects another sequence number than that of the oldest append.
};

/** @return Pipeline of a new epoch; nothing may be sent before the store has confirmed fencingAppend(). */
AppendPipeline makePipeline(std::string writer, std::uint64_t epoch);

/**
 * The first append of an epoch, which shuts out earlier epochs; an attempt without an answer is repeated unchanged.
 * It holds a record, because after an empty append the store still takes any sequence number: a later append could
 * be stored although an earlier one is not, and would confirm it. The record deletes a key that is never written.
 * @param pipeline The epoch's pipeline, to which nothing has been added yet.
 */
StoreAppend fencingAppend(const AppendPipeline& pipeline, StorePartition partition);

/**
 * Tells whether another append may be queued. Appends overlap because each would otherwise wait for the one before it
 * when the store is slow or its answers get lost. A store that answered fast and has fallen silent gets no further
 * append, so that the records that wait can still be refused with the certainty that they are not stored.
 * @param lastStoreReplyAt When the store last answered any call.
 * @return Whether records may be put into a further append.
 */
bool acceptsAppend(const AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now);

/** Queues an append under the next sequence number. @param batch Number of the batch whose last part it is, or 0. */
void pushAppend(AppendPipeline& pipeline, StoreAppend append, std::uint64_t batch);

/**
 * Selects the append to send now, and marks it as in flight: the next one, one that has failed, or a hedge of the oldest one.
 * An append is idempotent by its sequence number, so the oldest one is sent again beside its unanswered attempts after a few
 * times the usual latency. The delay doubles with each attempt, so that a store that is slow or silent gets few of them, unless
 * an attempt has lately been overtaken by a later one or the store has answered another call since: then answers are lost.
 * A slow store gets no more attempts in the time of one answer than its partition can carry out.
 * @param lastStoreReplyAt When the store last answered any call.
 * @return The append to send, whose m_latest is the attempt, or null when none is due; valid until the next call that changes the pipeline.
 */
const PipelinedAppend* beginSend(AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now);

/** Has the oldest append sent again at the next beginSend(), whatever its other attempts: it shows whether a partition that was silent answers again. */
void requestAttempt(AppendPipeline& pipeline);

/**
 * Processes the answer to an attempt and advances m_confirmedBatch when batches are confirmed. Each attempt gets exactly one answer.
 * @param status Result of the attempt; Unknown when its time is over.
 * @return What the writer has to do next.
 */
AppendOutcome onAppendAnswer(AppendPipeline& pipeline, const AppendAttempt& attempt, StoreStatus status, TimePoint now);

/** @return Timeout of the next append, derived from the latency of the latest one and the number of attempts without an answer. */
Duration appendTimeout(const AppendPipeline& pipeline);

/** @return When the oldest unconfirmed append was first sent; nothing when there is none or it has not been sent. */
std::optional<TimePoint> oldestUnconfirmedSince(const AppendPipeline& pipeline);

} // namespace bulrushloft::cell
