/** @file decision_round.cpp A round of the decision thread. */
#include "process/cell/decision_round.h"

namespace bulrushloft::cell {

namespace {

    void runNext(const WorkItem& item, const RoundCalls& calls)
    {
        calls.m_noteTime();
        calls.m_runItem(item);
    }

} // namespace

std::size_t runRound(WorkQueues& queues, WorkItem first, std::size_t limit, const RoundCalls& calls)
{
    std::size_t count = 0;
    do {
        WorkItem urgent;
        while (queues.m_urgentItems.tryPop(urgent))
            runNext(urgent, calls);
        runNext(first, calls);
    } while (++count < limit && queues.m_items.tryPop(first));
    return count;
}

} // namespace bulrushloft::cell
