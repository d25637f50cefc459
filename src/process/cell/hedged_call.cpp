/** @file hedged_call.cpp Attempts of hedged calls to the store. */
#include "process/cell/hedged_call.h"

namespace bulrushloft::cell {

bool isAttemptDue(const HedgedCall& call, Duration hedgeDelay, TimePoint now, std::uint32_t maxInFlight)
{
    if (now < call.m_notBefore)
        return false;
    return call.m_inFlight == 0 || (call.m_inFlight < maxInFlight && now - call.m_lastAttemptAt >= hedgeDelay);
}

std::uint64_t beginAttempt(HedgedCall& call, TimePoint now)
{
    ++call.m_inFlight;
    ++call.m_attempts;
    call.m_lastAttemptAt = now;
    return call.m_callNumber;
}

bool isAnswerToCall(const HedgedCall& call, std::uint64_t callNumber)
{
    return call.m_callNumber == callNumber;
}

void endCall(HedgedCall& call, TimePoint nextAt)
{
    ++call.m_callNumber;
    call.m_inFlight = 0;
    call.m_attempts = 0;
    call.m_notBefore = nextAt;
}

void failAttempt(HedgedCall& call, TimePoint nextAt)
{
    --call.m_inFlight;
    if (call.m_inFlight == 0)
        call.m_notBefore = nextAt;
}

} // namespace bulrushloft::cell
