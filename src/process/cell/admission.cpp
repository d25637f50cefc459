/** @file admission.cpp Decisions on submissions. */
#include "process/cell/admission.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration silentAfter { 1'000 }; ///< A slow store answers within it.
    constexpr Duration shortestComeBack { 1'000 };
    constexpr Duration longestComeBack { 2'000 }; ///< Clients try a few times only; a longer pause would miss the end of the outage by as much.

} // namespace

Admission decideAdmission(const StoreBelief& belief, TimePoint now)
{
    if (belief.m_oldestAppend && now - std::max(*belief.m_oldestAppend, belief.m_heardAt) > silentAfter)
        return Admission::Refuse;
    return belief.m_isAppendWanted ? Admission::Take : Admission::Wait;
}

Duration comeBackAfter(Duration silence)
{
    return std::clamp(silence, shortestComeBack, longestComeBack);
}

bool isHeardLately(TimePoint heardAt, TimePoint now)
{
    return now - heardAt < silentAfter - Duration { 300 };
}

} // namespace bulrushloft::cell
