/** @file hedged_call.cpp Tries of calls to the store. */
#include "process/cell/hedged_call.h"

namespace bulrushloft::cell {

bool isTryDue(const HedgedCall& call, Duration patience, TimePoint now)
{
    constexpr std::uint32_t mostTriesOut = 6;
    if (now < call.m_nextAt)
        return false;
    return call.m_out == 0 || (call.m_out < mostTriesOut && now - call.m_triedAt >= patience);
}

std::uint64_t beginTry(HedgedCall& call, TimePoint now)
{
    ++call.m_out;
    call.m_triedAt = now;
    return call.m_position;
}

bool isOfCall(const HedgedCall& call, std::uint64_t position)
{
    return call.m_position == position;
}

void endCall(HedgedCall& call, TimePoint nextAt)
{
    ++call.m_position;
    call.m_out = 0;
    call.m_nextAt = nextAt;
}

void failTry(HedgedCall& call, TimePoint nextAt)
{
    --call.m_out;
    if (call.m_out == 0)
        call.m_nextAt = nextAt;
}

} // namespace bulrushloft::cell
