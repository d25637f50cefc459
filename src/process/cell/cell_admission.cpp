/** @file cell_admission.cpp Handling of submissions at the leader, from arrival to the append that records them. */
#include "core/log_func.h"
#include "process/cell/admission.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

namespace bulrushloft::cell::detail {

namespace {

    void recordSubmission(CellNode& node, PendingSubmission pendingSubmission)
    {
        const std::uint64_t batch = scheduler::acceptAndRecord(*node.m_scheduler, std::move(pendingSubmission.m_plan), std::move(pendingSubmission.m_encodedPlan), node.m_now);
        if (batch == 0)
            return pendingSubmission.m_onComplete({ .m_outcome = WriteOutcome::Recorded });
        node.m_recordWaiters.push_back({ .m_batch = batch, .m_onComplete = [onComplete = std::move(pendingSubmission.m_onComplete)](WriteOutcome outcome) { onComplete({ .m_outcome = outcome }); } });
    }

    void rejectPending(CellNode& node, WriteOutcome outcome)
    {
        for (const PendingSubmission& pendingSubmission : std::exchange(node.m_pendingSubmissions, {})) {
            logEvent(LogLevel::Info, "submission-not-recorded", { { "job", pendingSubmission.m_plan.m_id }, { "waited_ms", (node.m_now - pendingSubmission.m_arrivedAt).m_ms }, { "is_store_silent", outcome == WriteOutcome::StoreUnavailable }, { "store_last_answer_ms_ago", (node.m_now - node.m_storeLastContactAt).m_ms } });
            pendingSubmission.m_onComplete({ .m_outcome = outcome });
        }
    }

} // namespace

void enqueueSubmission(CellNode& node, const PeerSubmit& message, const SubmissionCallback& onComplete)
{
    if (!isActiveLeader(node) || isJournalStuck(node))
        return onComplete({ .m_outcome = WriteOutcome::NotAccepted });
    auto plan = decodePlan(message.m_plan);
    if (!plan) {
        logEvent(LogLevel::Error, "submission-unreadable", { { "error", describe(plan.error()) } });
        return onComplete({ .m_outcome = WriteOutcome::NotAccepted });
    }
    if (const auto refusal = refuseAtGate(node, *plan))
        return onComplete(*refusal);
    node.m_pendingSubmissions.push_back({ .m_plan = std::move(*plan), .m_encodedPlan = message.m_plan, .m_arrivedAt = node.m_now, .m_onComplete = onComplete });
}

void stepAdmission(CellNode& node)
{
    stepGate(node);
    if (node.m_pendingSubmissions.empty())
        return;
    if (!isActiveLeader(node) || isJournalStuck(node))
        return rejectPending(node, WriteOutcome::NotAccepted);
    const StoreHealth health { .m_oldestAppendSentAt = oldestUnconfirmedSince(node.m_writer), .m_lastContactAt = node.m_storeLastContactAt, .m_isReadyForAppend = isReadyToRecord(node) };
    switch (decideAdmission(health, node.m_now)) {
    case Admission::Accept:
        for (PendingSubmission& pendingSubmission : std::exchange(node.m_pendingSubmissions, {}))
            recordSubmission(node, std::move(pendingSubmission));
        return;
    case Admission::Wait:
        return;
    case Admission::Refuse:
        return rejectPending(node, WriteOutcome::StoreUnavailable);
    }
}

} // namespace bulrushloft::cell::detail
