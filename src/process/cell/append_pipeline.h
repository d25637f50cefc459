/** @file append_pipeline.h Pipeline of a fenced writer's appends; several may be in flight while the store is slow. */
#pragma once

#include "connection/store_type.h"

#include <deque>

namespace bulrushloft::cell {

/** An append that the store has not confirmed yet. */
struct PipelinedAppend {
    StoreAppend m_append; ///< The records, with the writer and its sequence number.
    std::uint64_t m_batch = 0; ///< Number of the batch whose last part this is; 0 when more parts follow.
    TimePoint m_firstSentAt; ///< Time of the first attempt.
    TimePoint m_sentAt; ///< Time of the latest attempt.
    std::uint32_t m_attempts = 0; ///< How often it was sent.
    bool m_isSent = false; ///< It was sent at least once.
    bool m_isInFlight = false; ///< The latest attempt is neither answered nor presumed lost.
};

/** The unconfirmed appends of a writer, in the order of their sequence numbers. */
struct AppendPipeline {
    FencedWriter m_writer; ///< Name, epoch, and the sequence number of the latest append.
    std::deque<PipelinedAppend> m_queue; ///< Unconfirmed appends, the oldest first.
    TimePoint m_lastSentAt; ///< Time of the latest attempt of any append.
    TimePoint m_retryAt; ///< Earliest time of the next repeat.
    std::uint32_t m_refusals = 0; ///< How often the store has refused the oldest append (StoreStatus::NotDone); 0 after each confirmation.
    Duration m_lastLatency; ///< Time from the latest attempt to the confirmation, for the latest confirmed append.
    Duration m_lastTotal; ///< Time from the first attempt to the confirmation, for the oldest append of the latest confirmation.
    std::uint32_t m_lastAttempts = 0; ///< Attempts of that append.
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
 * Selects the append to send now, either the next one or a repeat of the oldest, and marks it as in flight.
 * @param lastStoreReplyAt When the store last answered any call; an append without an answer is repeated when other calls have been answered since.
 * @return The append to send, or null when none is due; valid until the next call that changes the pipeline.
 */
const PipelinedAppend* beginSend(AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now);

/**
 * Processes the answer to an append and advances m_confirmedBatch when batches are confirmed.
 * @param sequence Sequence number of the append. @param status Result of the attempt.
 * @return What the writer has to do next.
 */
AppendOutcome onAppendAnswer(AppendPipeline& pipeline, std::uint64_t sequence, StoreStatus status, TimePoint now);

/** @return Timeout of the next append, derived from the latency of the latest one. */
Duration appendTimeout(const AppendPipeline& pipeline);

/** @return When the oldest unconfirmed append was first sent; nothing when there is none or it has not been sent. */
std::optional<TimePoint> oldestUnconfirmedSince(const AppendPipeline& pipeline);

} // namespace bulrushloft::cell
