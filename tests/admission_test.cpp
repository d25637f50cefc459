/** @file admission_test.cpp Whether submissions are taken, wait or are refused. */
#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include "process/cell/admission.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;

BOOST_AUTO_TEST_CASE(an_idle_store_takes_at_once)
{
    BOOST_CHECK(decideAdmission({ .m_oldestAppend = std::nullopt, .m_heardAt = {}, .m_isAppendWanted = true }, { 50'000 }) == Admission::Take);
}

// Load: a store that needs 0.6 s for each append; jobs wait for their turn and none is refused.
BOOST_AUTO_TEST_CASE(a_slow_store_makes_submissions_wait)
{
    const StoreBelief belief { .m_oldestAppend = TimePoint { 10'000 }, .m_heardAt = { 10'300 }, .m_isAppendWanted = false };
    BOOST_CHECK(decideAdmission(belief, { 10'600 }) == Admission::Wait);
    BOOST_CHECK(decideAdmission(belief, { 11'200 }) == Admission::Wait);
}

// Load: the store is silent for 4 s while 40 jobs a second come; 109 calls were told 504, which clients can't repeat.
BOOST_AUTO_TEST_CASE(a_silent_store_makes_submissions_refused)
{
    const StoreBelief belief { .m_oldestAppend = TimePoint { 10'000 }, .m_heardAt = { 9'990 }, .m_isAppendWanted = false };
    BOOST_CHECK(decideAdmission(belief, { 10'900 }) == Admission::Wait);
    BOOST_CHECK(decideAdmission(belief, { 11'100 }) == Admission::Refuse);
}

BOOST_AUTO_TEST_CASE(a_store_heard_within_the_leaders_silence_is_only_the_leaders_trouble)
{
    BOOST_TEST(isHeardLately({ 9'500 }, { 10'000 }));
    BOOST_TEST(!isHeardLately({ 9'000 }, { 10'000 }));
}
