/** @file hedged_append.cpp Appends whose records may be stored more than once, sent again in parallel while they are unanswered. */
#include "process/cell/cell_detail.h"

namespace bulrushloft::cell::detail {

namespace {

    void sendAttempt(CellNode& node, const std::shared_ptr<HedgedAppend>& append)
    {
        beginAttempt(append->m_call, node.m_now);
        ++node.m_openHedgedAttempts;
        sendAppend(node, append->m_append, append->m_until - node.m_now, [&node, append, sentAt = node.m_now](const StoreAppendAnswer& answer) {
            --node.m_openHedgedAttempts;
            updateStoreReachability(node, answer.m_status == StoreStatus::Done);
            if (!append->m_onAnswer)
                return;
            const bool isDone = answer.m_status == StoreStatus::Done;
            if (isDone)
                node.m_appendLatency = node.m_now - sentAt;
            append->m_mayBeStored = append->m_mayBeStored || answer.m_status != StoreStatus::NotDone;
            failAttempt(append->m_call, node.m_now);
            if (!isDone && append->m_call.m_inFlight > 0)
                return;
            StoreAppendAnswer outcome = answer;
            if (!isDone && append->m_mayBeStored)
                outcome.m_status = StoreStatus::Unknown;
            std::exchange(append->m_onAnswer, nullptr)(outcome);
        });
    }

} // namespace

void sendHedged(CellNode& node, StoreAppend append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer)
{
    auto hedged = std::make_shared<HedgedAppend>(HedgedAppend { .m_append = std::move(append), .m_until = node.m_now + timeout, .m_call = {}, .m_onAnswer = std::move(onAnswer) });
    node.m_hedgedAppends.push_back(hedged);
    sendAttempt(node, hedged);
}

void stepHedgedAppends(CellNode& node)
{
    constexpr std::uint32_t maxInFlight = 5; // Several appends may be in flight, on a limited number of connections.
    constexpr Duration minTimeout { 50 }; // An attempt with less time is not worth sending.
    std::erase_if(node.m_hedgedAppends, [](const std::shared_ptr<HedgedAppend>& append) { return !append->m_onAnswer; });
    const std::vector<std::shared_ptr<HedgedAppend>> unanswered = node.m_hedgedAppends; // Answers may begin further appends.
    for (const std::shared_ptr<HedgedAppend>& append : unanswered) {
        if (append->m_until - node.m_now >= minTimeout && isAttemptDue(append->m_call, appendHedgeDelay(node, append->m_call, node.m_openHedgedAttempts), node.m_now, maxInFlight))
            sendAttempt(node, append);
    }
}

} // namespace bulrushloft::cell::detail
