/** @file append_pipeline.h Appends of one fenced writer, several of which may be unanswered while the store is slow. */
#pragma once

#include "connection/store_type.h"

#include <deque>

namespace bulrushloft::cell {

/** An append that the store has not confirmed. */
struct PipelinedAppend {
    StoreAppend m_append; ///< What is written, with its sequence number.
    std::uint64_t m_batch = 0; ///< The batch of records that it completes; 0 when more parts follow.
    TimePoint m_firstSentAt; ///< When it was first sent.
    TimePoint m_sentAt; ///< When it was last sent.
    bool m_isSent = false; ///< Sent at least once.
    bool m_isInFlight = false; ///< Sent and not answered.
};

/** The appends of a writer, in the order of their sequence numbers. */
struct AppendPipeline {
    FencedWriter m_writer; ///< Name, epoch, and the sequence number of the latest append.
    std::deque<PipelinedAppend> m_queue; ///< Not confirmed, the oldest first.
    TimePoint m_lastSentAt; ///< When any was last sent.
    TimePoint m_retryAt; ///< No repeat before.
    std::uint32_t m_refusals = 0; ///< Clear refusals of the oldest append.
    Duration m_lastLatency; ///< How long the latest confirmed append took.
    std::uint64_t m_confirmedBatch = 0; ///< The latest batch that the store keeps.
};

/** What an answer means for the writer. */
enum class AppendOutcome : std::uint8_t {
    Proceed, ///< Nothing is lost.
    Fenced, ///< The store knows a later epoch.
    SequenceMismatch, ///< The store expects a sequence number that this writer did not give.
};

/**
 * Load: a slow store, or one whose answers get lost; each append would wait for the one before it.
 * A store that falls silent gets no further append, so that what waits can still be refused for certain.
 * @param lastStoreReplyAt When the store last answered any call.
 * @return Whether records may be taken for a further append.
 */
bool acceptsAppend(const AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now);

/** Adds an append as the youngest. @param batch The batch that it completes, or 0. */
void pushAppend(AppendPipeline& pipeline, StoreAppend append, std::uint64_t batch);

/**
 * Marks the append that is to be sent now as sent: the next one, or the oldest again.
 * @param lastStoreReplyAt When the store last answered any call; an append that is silent while others are answered is sent again.
 * @return It, or null; valid until the next call.
 */
const PipelinedAppend* beginSend(AppendPipeline& pipeline, TimePoint lastStoreReplyAt, TimePoint now);

/**
 * Takes the answer to an append.
 * @param sequence Its sequence number. @param status How it ended.
 * @return What it means; m_confirmedBatch rises when batches are confirmed.
 */
AppendOutcome onAppendAnswer(AppendPipeline& pipeline, std::uint64_t sequence, StoreStatus status, TimePoint now);

/** @return How long the next append is waited for. */
Duration appendTimeout(const AppendPipeline& pipeline);

/** @return When the oldest append that is not confirmed was first sent; nothing when all are confirmed. */
std::optional<TimePoint> oldestUnconfirmedSince(const AppendPipeline& pipeline);

} // namespace bulrushloft::cell
