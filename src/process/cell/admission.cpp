/** @file admission.cpp Admission control for submissions. */
#include "process/cell/admission.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr Duration storeSilenceLimit { 1'000 }; ///< A store that is slow but working answers within this time.
    constexpr Duration recentAnswerLimit { 700 }; ///< Shorter than storeSilenceLimit: if the store is silent for every daemon, none has an answer this recent when the leader refuses.

} // namespace

Admission decideAdmission(const StoreHealth& health, TimePoint now)
{
    if (health.m_oldestAppendSentAt && now - std::max(*health.m_oldestAppendSentAt, health.m_lastContactAt) > storeSilenceLimit)
        return Admission::Refuse;
    return health.m_isReadyForAppend ? Admission::Accept : Admission::Wait;
}

bool hasRecentAnswer(TimePoint lastAnswerAt, TimePoint now)
{
    return now - lastAnswerAt < recentAnswerLimit;
}

} // namespace bulrushloft::cell
