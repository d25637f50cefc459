/** @file admission.cpp Decisions on submissions. */
#include "process/cell/admission.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration silentAfter { 1'000 }; ///< A slow store answers within it.
    constexpr Duration lately { 700 }; ///< Shorter than that, so that both can't be the same silence.

} // namespace

Admission decideAdmission(const StoreBelief& belief, TimePoint now)
{
    if (belief.m_oldestAppend && now - std::max(*belief.m_oldestAppend, belief.m_heardAt) > silentAfter)
        return Admission::Refuse;
    return belief.m_isAppendWanted ? Admission::Take : Admission::Wait;
}

bool isHeardLately(TimePoint heardAt, TimePoint now)
{
    return now - heardAt < lately;
}

} // namespace bulrushloft::cell
