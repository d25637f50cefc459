/**
 * @file cell_cancellations.cpp Cancellations at the leader.
 *
 * "No such job" ends a cancellation without a record, so it must be true whoever leads. What the leader has read may be older than the call: a VM may have
 * stored the job since, or a later term may have begun and accepted it. So the answer waits until the store has shown, asked after the call arrived, that no
 * later term has begun and that the submissions hold nothing else. Without that in time the caller stores the cancellation itself.
 */
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"

namespace bulrushloft::cell::detail {

namespace {

    /** @return Whether a job that this leader doesn't know was accepted by nobody up to the given time, on the clock of TermEvidence. */
    bool isAbsenceShown(const CellNode& node, TimePoint askedAt)
    {
        return node.m_termLease.m_evidence.m_storeAskedAt > askedAt && node.m_jobsTail.m_upToDateAt > askedAt;
    }

    void cancelKnown(CellNode& node, const std::string& job, const std::function<void(WriteOutcome)>& onComplete)
    {
        scheduler::cancelJob(*node.m_scheduler, job, node.m_now);
        node.m_recordWaiters.push_back({ .m_batch = node.m_scheduler->m_jobs.at(job)->m_stageBatch, .m_onComplete = onComplete });
        notifyRecordWaiters(node);
    }

    /** Carries out a cancellation as far as this daemon can tell now. @return Whether it is done; otherwise the job is unknown, and that it was accepted by nobody is not shown yet. */
    bool tryCancel(CellNode& node, const HeldCancellation& cancellation)
    {
        const QueryStatus status = canRecord(node) ? lookUpJob(node, cancellation.m_job).m_status : QueryStatus::NotLeading;
        if (status == QueryStatus::Known) {
            cancelKnown(node, cancellation.m_job, cancellation.m_onComplete);
            return true;
        }
        const bool isShown = status == QueryStatus::NoSuchJob && (cancellation.m_isStored || isAbsenceShown(node, cancellation.m_askedAt));
        const bool isHeld = status == QueryStatus::NoSuchJob && !isShown && node.m_now < cancellation.m_until;
        if (!isHeld)
            cancellation.m_onComplete(isShown ? WriteOutcome::NoSuchJob : WriteOutcome::NotAccepted);
        return !isHeld;
    }

} // namespace

PeerQueryAnswer lookUpJob(const CellNode& node, const std::string& job)
{
    if (!isActiveLeader(node))
        return { .m_status = QueryStatus::NotLeading };
    if (const auto stage = scheduler::findStage(*node.m_scheduler, job))
        return { .m_status = QueryStatus::Known, .m_stage = static_cast<std::uint8_t>(*stage) };
    const bool isFresh = !node.m_scheduler->m_areSubmissionsUnread && node.m_lastBootTime - node.m_jobsTail.m_upToDateAt <= node.m_options.m_maxJobsStaleness;
    return { .m_status = isFresh ? QueryStatus::NoSuchJob : QueryStatus::NotLeading };
}

bool canRecord(const CellNode& node)
{
    constexpr Duration stuckAppendAge { 500 };
    const auto since = oldestUnconfirmedSince(node.m_writer);
    const bool isStuck = since && node.m_now - *since > stuckAppendAge && !node.m_isStoreReached;
    return isActiveLeader(node) && !isStuck && !isJournalStuck(node);
}

void recordCancellation(CellNode& node, const PeerCancel& message, const std::function<void(WriteOutcome)>& onComplete)
{
    HeldCancellation cancellation { .m_job = message.m_job, .m_isStored = message.m_isStored, .m_askedAt = node.m_lastBootTime, .m_until = node.m_now + message.m_patience, .m_onComplete = onComplete };
    if (!tryCancel(node, cancellation))
        node.m_heldCancellations.push_back(std::move(cancellation));
}

void stepCancellations(CellNode& node)
{
    for (HeldCancellation& cancellation : std::exchange(node.m_heldCancellations, {})) {
        if (!tryCancel(node, cancellation))
            node.m_heldCancellations.push_back(std::move(cancellation));
    }
}

} // namespace bulrushloft::cell::detail
