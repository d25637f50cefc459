/** @file cell_admission.cpp Submissions at the leader, from their arrival to the append that records them. */
#include "core/log_func.h"
#include "process/cell/admission.h"
#include "process/cell/cell_detail.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"

namespace bulrushloft::cell::detail {

namespace {

    void record(CellNode& node, WaitingSubmit submit)
    {
        const std::uint64_t batch = scheduler::acceptAndRecord(*node.m_scheduler, std::move(submit.m_plan), std::move(submit.m_record), node.m_now);
        if (batch == 0)
            return submit.m_onEnd(WriteOutcome::Recorded);
        node.m_recordWaiters.push_back({ .m_batch = batch, .m_onEnd = std::move(submit.m_onEnd) });
    }

    void endWaiting(CellNode& node, WriteOutcome outcome)
    {
        for (const WaitingSubmit& submit : std::exchange(node.m_waitingSubmits, {})) {
            logEvent(LogLevel::Info, "submission-not-taken", { { "job", submit.m_plan.m_id }, { "waited_ms", (node.m_now - submit.m_arrivedAt).m_ms }, { "is_store_silent", outcome == WriteOutcome::StoreUnavailable }, { "store_heard_ms_ago", (node.m_now - node.m_storeHeardAt).m_ms } });
            submit.m_onEnd(outcome);
        }
    }

} // namespace

void takeSubmit(CellNode& node, const PeerSubmit& message, const std::function<void(WriteOutcome)>& onEnd)
{
    if (!mayAct(node))
        return onEnd(WriteOutcome::NotAccepted);
    auto plan = decodePlan(message.m_plan);
    if (!plan) {
        logEvent(LogLevel::Error, "submission-unreadable", { { "error", describe(plan.error()) } });
        return onEnd(WriteOutcome::NotAccepted);
    }
    node.m_waitingSubmits.push_back({ .m_plan = std::move(*plan), .m_record = message.m_plan, .m_arrivedAt = node.m_now, .m_onEnd = onEnd });
}

void stepAdmission(CellNode& node)
{
    if (node.m_waitingSubmits.empty())
        return;
    if (!mayAct(node))
        return endWaiting(node, WriteOutcome::NotAccepted);
    const StoreBelief belief { .m_oldestAppend = oldestSince(node.m_writer), .m_heardAt = node.m_storeHeardAt, .m_isAppendWanted = wantsAppend(node.m_writer, node.m_storeHeardAt, node.m_now) };
    switch (decideAdmission(belief, node.m_now)) {
    case Admission::Take:
        for (WaitingSubmit& submit : std::exchange(node.m_waitingSubmits, {}))
            record(node, std::move(submit));
        return;
    case Admission::Wait:
        return;
    case Admission::Refuse:
        return endWaiting(node, WriteOutcome::StoreUnavailable);
    }
}

} // namespace bulrushloft::cell::detail
