/** @file owner_journal.cpp The shard owner's use of the journal: group commit, confirmation of appends, end of the term. */
#include "process/owner/owner_detail.h"

#include "core/log_func.h"
#include "process/journal/journal_func.h"

#include <algorithm>

namespace bulrushloft {

namespace detail {

    namespace {

        constexpr std::size_t maxRecordsPerEntry = 2'000;
        constexpr Duration minAppendRetryDelay { 100 };
        constexpr Duration maxAppendRetryDelay { 2'000 };
        constexpr Duration idleReadInterval { 5'000 };
        constexpr Duration silentPeerReadInterval { 300 };
        constexpr Duration readRetryDelay { 500 };

        void sendAppend(ShardOwner& owner, TimePoint now, Effects& effects)
        {
            PendingAppend& append = *owner.m_append;
            append.m_isInFlight = true;
            append.m_ticket = ++owner.m_lastTicket;
            const Duration elapsed = now - append.m_firstSentAt;
            append.m_retryAt = now + std::clamp(elapsed, minAppendRetryDelay, maxAppendRetryDelay);
            effects.m_appends.push_back({ .m_stream = "journal." + owner.m_state.m_shard, .m_bytes = append.m_bytes, .m_ticket = append.m_ticket });
            ++owner.m_counters.m_appends;
        }

        void startAppend(ShardOwner& owner, TimePoint now, Effects& effects)
        {
            JournalEntry entry { .m_epoch = owner.m_state.m_epoch, .m_writer = owner.m_options.m_instance, .m_sequence = ++owner.m_lastSequence, .m_wall = toWall(now, owner.m_options.m_wallOffset), .m_records = {} };
            const std::size_t count = std::min(owner.m_outbox.size(), maxRecordsPerEntry);
            const auto end = owner.m_outbox.begin() + static_cast<std::ptrdiff_t>(count);
            entry.m_records.assign(std::make_move_iterator(owner.m_outbox.begin()), std::make_move_iterator(end));
            owner.m_outbox.erase(owner.m_outbox.begin(), end);
            owner.m_append.emplace();
            owner.m_append->m_bytes = encodeEntry(entry);
            owner.m_append->m_entry = std::move(entry);
            owner.m_append->m_firstSentAt = now;
            owner.m_nextAppendAt = now + owner.m_policy->m_limits.m_commitInterval;
            sendAppend(owner, now, effects);
        }

        void onFenceConfirmed(ShardOwner& owner)
        {
            owner.m_formerOwnerStates.clear();
            owner.m_mayHaveUnjournaledTasks = false;
        }

        void confirmRecord(ShardOwner& owner, const Record& record, const Expected<void>& result, TimePoint now, Effects& effects)
        {
            if (const auto* accept = std::get_if<AcceptJobRecord>(&record))
                onAcceptConfirmed(owner, *accept, result, now, effects);
            else if (const auto* place = std::get_if<PlaceRecord>(&record))
                onPlaceConfirmed(owner, *place, result, now);
            else if (const auto* outcome = std::get_if<OutcomeRecord>(&record))
                onOutcomeConfirmed(owner, *outcome, now, effects);
            else if (const auto* cancel = std::get_if<CancelJobRecord>(&record))
                onCancelConfirmed(owner, *cancel, now, effects);
            else if (std::holds_alternative<FencedRecord>(record))
                onFenceConfirmed(owner);
            else if (const auto* intent = std::get_if<IntendRequestRecord>(&record))
                onIntentConfirmed(owner, *intent, result.has_value(), now, effects);
        }

        /** Applies the pending entry, now that its offset on the log is known, and acts on its records. */
        void confirmAppend(ShardOwner& owner, Offset offset, TimePoint logTime, TimePoint now, Effects& effects)
        {
            const JournalEntry entry = std::move(owner.m_append->m_entry);
            owner.m_append.reset();
            owner.m_lastConfirmedAt = now;
            const EntryResult result = applyEntry(owner.m_state, entry, offset, logTime);
            for (std::size_t i = 0; i < result.m_results.size(); ++i)
                confirmRecord(owner, entry.m_records[i], result.m_results[i], now, effects);
            if (owner.m_state.m_isReleased)
                owner.m_isTermOver = true;
        }

        bool isPendingAppend(const ShardOwner& owner, const JournalEntry& entry)
        {
            return owner.m_append && entry.m_writer == owner.m_options.m_instance && entry.m_epoch == owner.m_state.m_epoch
                && entry.m_sequence == owner.m_append->m_entry.m_sequence;
        }

        void applyRead(ShardOwner& owner, const LogEntry& read, TimePoint now, Effects& effects)
        {
            const auto entry = decodeEntry(read.m_bytes);
            if (!entry) {
                logEvent(LogLevel::Warning, "journal-entry-malformed", { { "shard", owner.m_state.m_shard }, { "offset", read.m_offset.m_value }, { "error", describe(entry.error()) } });
                skipMalformedEntry(owner.m_state, read.m_offset);
                return;
            }
            if (isPendingAppend(owner, *entry))
                return confirmAppend(owner, read.m_offset, read.m_time, now, effects);
            applyEntry(owner.m_state, *entry, read.m_offset, read.m_time);
            if (owner.m_state.m_owner != owner.m_options.m_instance)
                owner.m_isTermOver = true;
        }

        void stepReader(ShardOwner& owner, TimePoint now, Effects& effects)
        {
            StreamReader& reader = owner.m_reader;
            if (owner.m_hasSilentPeer)
                reader.m_nextReadAt = std::min(reader.m_nextReadAt, now + silentPeerReadInterval);
            if (reader.m_isInFlight || (!reader.m_isReadDue && now < reader.m_nextReadAt))
                return;
            reader.m_isInFlight = true;
            reader.m_isReadDue = false;
            reader.m_ticket = ++owner.m_lastTicket;
            reader.m_nextReadAt = now + (owner.m_hasSilentPeer ? silentPeerReadInterval : idleReadInterval);
            owner.m_readSentAt = now;
            owner.m_isFreshReadNeeded = false;
            effects.m_reads.push_back({ .m_stream = "journal." + owner.m_state.m_shard, .m_from = owner.m_state.m_next, .m_waitFor = {}, .m_ticket = reader.m_ticket });
        }

    } // namespace

    void queueRecord(ShardOwner& owner, Record record)
    {
        owner.m_outbox.push_back(std::move(record));
    }

    void flushJournal(ShardOwner& owner, TimePoint now, Effects& effects)
    {
        if (owner.m_isTermOver)
            return;
        if (owner.m_append) {
            if (!owner.m_append->m_isInFlight && now >= owner.m_append->m_retryAt)
                sendAppend(owner, now, effects);
        } else if (!owner.m_outbox.empty() && now >= owner.m_nextAppendAt) {
            startAppend(owner, now, effects);
        }
        stepReader(owner, now, effects);
    }

    bool isLogSlow(const ShardOwner& owner, TimePoint now)
    {
        return owner.m_append && now - owner.m_append->m_firstSentAt > owner.m_options.m_logSlowThreshold;
    }

    bool mayStartWorkUnjournaled(const ShardOwner& owner, TimePoint now)
    {
        if (owner.m_mayBeSuperseded)
            return false;
        return !owner.m_hasSilentPeer || owner.m_hasMajority || now - owner.m_lastFullReadAt < owner.m_options.m_maxReadAge;
    }

    bool mayStartTasksUnjournaled(const ShardOwner& owner, TimePoint now)
    {
        return mayStartWorkUnjournaled(owner, now) && owner.m_append && now - owner.m_append->m_firstSentAt > owner.m_options.m_unjournaledStartAfter
            && now - owner.m_lastConfirmedAt > owner.m_options.m_unjournaledStartAfter;
    }

} // namespace detail

namespace {

    /** Called when a read has reached the end of the stream and the term is not over. */
    void onReadToEnd(ShardOwner& owner)
    {
        owner.m_lastFullReadAt = owner.m_readSentAt;
        if (!owner.m_isFreshReadNeeded)
            owner.m_mayBeSuperseded = false;
    }

} // namespace

void onAppendResult(ShardOwner& owner, std::uint64_t ticket, const LogAppendResult& result, TimePoint now, Effects& effects)
{
    if (owner.m_isTermOver || !owner.m_append || owner.m_append->m_ticket != ticket)
        return;
    owner.m_append->m_isInFlight = false;
    if (result && result->m_offset == owner.m_state.m_next) {
        detail::confirmAppend(owner, result->m_offset, result->m_time, now, effects);
    } else {
        owner.m_reader.m_isReadDue = true;
        if (!result)
            logEvent(LogLevel::Debug, "append-failed", { { "shard", owner.m_state.m_shard }, { "sequence", owner.m_append->m_entry.m_sequence }, { "error", describe(result.error()) } });
    }
    if (owner.m_isTermOver)
        detail::redirectCallers(owner, effects);
}

void onReadResult(ShardOwner& owner, std::uint64_t ticket, const LogReadResult& result, TimePoint now, Effects& effects)
{
    if (owner.m_reader.m_ticket != ticket)
        return;
    owner.m_reader.m_isInFlight = false;
    if (owner.m_isTermOver)
        return;
    if (!result) {
        owner.m_reader.m_nextReadAt = std::min(owner.m_reader.m_nextReadAt, now + detail::readRetryDelay);
        return;
    }
    if (result->m_oldest > owner.m_state.m_next) {
        logEvent(LogLevel::Error, "journal-truncated", { { "shard", owner.m_state.m_shard }, { "oldest", result->m_oldest.m_value }, { "next", owner.m_state.m_next.m_value } });
        owner.m_isTermOver = true;
    }
    for (const LogEntry& entry : result->m_entries) {
        if (entry.m_offset == owner.m_state.m_next && !owner.m_isTermOver)
            detail::applyRead(owner, entry, now, effects);
    }
    const bool isBehind = owner.m_state.m_next < result->m_end;
    if (isBehind)
        owner.m_reader.m_isReadDue = true;
    else
        onReadToEnd(owner);
    if (owner.m_isTermOver)
        detail::redirectCallers(owner, effects);
}

} // namespace bulrushloft
