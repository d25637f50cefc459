/** @file journal_move.h State of a leader's change to another partition of the topic of progress; see cell_journal_move.cpp. */
#pragma once

#include "process/cell/append_pipeline.h"
#include "process/cell/hedged_call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushloft::cell {

/** An append to the leader topic that has been sent. Its copies are under the same condition, so the store accepts one of them at most. */
struct SentClaim {
    StoreAppend m_append; ///< The record and its condition.
    HedgedCall m_call; ///< Its attempts.
    TimePoint m_firstSentAt; ///< When the first attempt was sent.
};

/** A partition that is being fenced, to learn whether it answers. */
struct JournalProbe {
    std::uint32_t m_partition = 0; ///< Partition number in the topic of progress.
    HedgedCall m_fence; ///< Attempts of the fence.
};

/** A change of the partitions that the leader topic names. */
struct PointerChange {
    std::vector<std::uint32_t> m_partitions; ///< The partitions that it is to name.
    SentClaim m_record; ///< The record and its condition.
    bool m_isSent = false; ///< Whether an attempt was sent, so that the change may have taken place.
    TimePoint m_sentAtBoot; ///< When the first one was sent, on the clock that goes on during a suspension.
};

/** Preparation of a partition that is to hold the leader's records from now on. */
struct JournalTarget {
    std::uint32_t m_partition = 0; ///< Partition number in the topic of progress.
    AppendPipeline m_writer; ///< Writes to it; the fence is stored.
    TimePoint m_answeredAt; ///< When it last answered.
    HedgedCall m_listing; ///< The current page request.
    std::string m_after; ///< The next page starts after this key.
    std::vector<std::string> m_oldKeys; ///< Keys that earlier terms have left there.
    std::optional<TimePoint> m_checkedAt; ///< When the partition written to was last asked once more.
    bool m_isListed = false; ///< Whether all keys are listed.
    bool m_isSnapshotQueued = false; ///< Whether the records are in m_writer; from then on nothing new is recorded until the change has ended.
    std::uint64_t m_coveredBatch = 0; ///< The newest batch that they cover.
    std::size_t m_records = 0; ///< How many they are.
};

/** A leader's change to another partition. */
struct JournalMove {
    std::optional<TimePoint> m_probingSince; ///< When the first probe was sent; empty while the partition written to answers.
    TimePoint m_probedAt; ///< When the latest probes were begun.
    std::uint32_t m_rounds = 0; ///< How often probes were begun since then.
    std::vector<JournalProbe> m_probes; ///< Partitions that are being fenced.
    std::vector<std::uint32_t> m_used; ///< Partitions that this term has written records to and given up. It uses none of them again: late appends could follow.
    std::optional<JournalTarget> m_target; ///< The first one that has answered.
    std::optional<PointerChange> m_pointer; ///< The change that is due or being made.
    std::optional<std::uint64_t> m_foldBatch; ///< The batch that writes what earlier partitions hold to the present one; then only that one is named.
    std::uint64_t m_confirmations = 0; ///< Value of AppendPipeline::m_confirmations of the partition written to when probing began.
};

} // namespace bulrushloft::cell
