/** @file place_wait_test.cpp Tasks wait for a place near their data, or a gang for one rack, only as long as that saves more than it costs. */
#define BOOST_TEST_MODULE place_wait
#include <boost/test/unit_test.hpp>

#include "process/scheduler/place_wait.h"
#include "rack_load.h"

#include <optional>

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

namespace {

constexpr Duration runTime = rackRunTime;

/** A wait of which all but the time of room is fixed: 4 s are saved, of which 3 s may be waited. */
PlaceWaitInput waitFor(Duration room)
{
    return { .m_since = { 10'000 }, .m_roomAt = TimePoint { 10'000 } + room, .m_runTime = runTime, .m_factorNow = 3, .m_factorThen = 1, .m_latestStart = { 60'000 }, .m_longestWait = { 60'000 } };
}

} // namespace

// A fixed delay waits for a place that is free too late, and does not wait for one that is free soon enough.
BOOST_AUTO_TEST_CASE(a_wait_is_worthwhile_while_it_is_shorter_than_its_share_of_the_saving)
{
    constexpr TimePoint now { 10'000 };
    BOOST_TEST(decidePlaceWait(waitFor({ 1'000 }), now).m_isWorthwhile);
    BOOST_TEST(decidePlaceWait(waitFor({ 3'000 }), now).m_isWorthwhile);
    BOOST_TEST(!decidePlaceWait(waitFor({ 3'001 }), now).m_isWorthwhile);
    BOOST_TEST(!decidePlaceWait(waitFor(farFuture - now), now).m_isWorthwhile);
}

// A place that is always expected soon and never free kept the task waiting.
BOOST_AUTO_TEST_CASE(a_wait_ends_after_its_share_of_the_saving_even_if_the_place_is_still_expected_soon)
{
    PlaceWaitInput input = waitFor({ 0 });
    input.m_roomAt = { 12'999 };
    BOOST_TEST(decidePlaceWait(input, { 12'998 }).m_isWorthwhile);
    BOOST_TEST(decidePlaceWait(input, { 12'998 }).m_until.m_ms == 13'000);
    input.m_roomAt = { 13'000 };
    BOOST_TEST(!decidePlaceWait(input, { 13'000 }).m_isWorthwhile);
}

// Waiting beyond the slack makes the job miss an objective that it could still meet.
BOOST_AUTO_TEST_CASE(a_wait_ends_when_the_slack_is_used_up)
{
    PlaceWaitInput input = waitFor({ 2'000 });
    input.m_latestStart = { 11'999 };
    BOOST_TEST(!decidePlaceWait(input, { 10'000 }).m_isWorthwhile);
    input.m_latestStart = { 12'000 };
    BOOST_TEST(decidePlaceWait(input, { 10'000 }).m_isWorthwhile);
    BOOST_TEST(!decidePlaceWait(input, { 12'000 }).m_isWorthwhile);
}

// A run time of 0 means that it is unknown, and an equal place saves nothing.
BOOST_AUTO_TEST_CASE(nothing_is_waited_for_that_saves_nothing)
{
    PlaceWaitInput input = waitFor({ 0 });
    input.m_runTime = {};
    BOOST_TEST(!decidePlaceWait(input, { 10'000 }).m_isWorthwhile);
    input = waitFor({ 0 });
    input.m_factorNow = input.m_factorThen;
    BOOST_TEST(!decidePlaceWait(input, { 10'000 }).m_isWorthwhile);
    input.m_factorNow = 1.04; // Saves 80 ms.
    BOOST_TEST(!decidePlaceWait(input, { 10'000 }).m_isWorthwhile);
    input.m_factorNow = 1.06;
    BOOST_TEST(decidePlaceWait(input, { 10'000 }).m_isWorthwhile);
}

// An attempt that was overdue counted as about to end, for as long as it ran.
BOOST_AUTO_TEST_CASE(an_overdue_attempt_is_expected_to_run_in_proportion_to_its_time_so_far)
{
    constexpr TimePoint start { 10'000 };
    BOOST_TEST(expectedEndOfAttempt(start, runTime, start).m_ms == 12'000);
    BOOST_TEST(expectedEndOfAttempt(start, runTime, { 12'100 }).m_ms == 12'100);
    BOOST_TEST(expectedEndOfAttempt(start, runTime, { 14'000 }).m_ms == 16'000);
    BOOST_TEST(expectedEndOfAttempt(start, runTime, { 18'000 }).m_ms == 22'000);
}

// A task started far from its data 1 s before a place near them was free, and ran 4 s longer.
BOOST_AUTO_TEST_CASE(a_task_waits_for_a_rack_that_is_full_for_1_s)
{
    RackLoad load(2, 2);
    load.fillNear(2, { 1'000 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 500 });
    BOOST_TEST(load.rackOf(job) == "");
    load.run({ 700 });
    BOOST_TEST(load.rackOf(job) == nearRack);
    BOOST_TEST(load.counters().m_begun == 1U);
    BOOST_TEST(load.counters().m_ended == 1U);
    BOOST_TEST(load.counters().m_givenUp == 0U);
    BOOST_TEST(load.counters().m_waitedMs >= 900U);
}

// A task that waits for a rack which is full for longer than the saving ends later than one that starts at once.
BOOST_AUTO_TEST_CASE(a_task_starts_at_once_when_the_rack_is_full_for_30_s)
{
    RackLoad load(2, 2);
    load.fillNear(2, { 30'000 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 100 });
    BOOST_TEST(load.rackOf(job) == farRack);
    BOOST_TEST(load.counters().m_begun == 0U);
}

// Without the switch, nothing waits.
BOOST_AUTO_TEST_CASE(without_the_switch_no_task_waits)
{
    RackLoad load(2, 2, false);
    load.fillNear(2, { 1'000 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 100 });
    BOOST_TEST(load.rackOf(job) == farRack);
    BOOST_TEST(load.counters().m_begun == 0U);
}

// All of twenty tasks waited for the same place, which one of them got.
BOOST_AUTO_TEST_CASE(tasks_do_not_wait_for_places_that_others_before_them_wait_for)
{
    constexpr std::uint32_t tasks = 20;
    RackLoad load(1, tasks);
    load.fillNear(1, { 500 });
    std::vector<std::string> jobs;
    for (std::uint32_t i = 0; i < tasks; ++i)
        jobs.push_back(load.submit("plain", RackLoad::makeStep(1, nearRack, { 1'000 })));
    load.run({ 200 });
    const auto isWaiting = [&](const std::string& job) { return load.rackOf(job).empty(); };
    // Places come free after 0.5 and 1.5 s; a wait may take 1.5 s of the 2 s that are saved, less what has passed.
    BOOST_TEST(std::count_if(jobs.begin(), jobs.end(), isWaiting) <= 2);
    BOOST_TEST(std::count_if(jobs.begin(), jobs.end(), isWaiting) >= 1);
}

// A wide step was to wait with all its tasks, or with none: those that places near the data come free for soon wait, the others start.
BOOST_AUTO_TEST_CASE(only_those_tasks_of_a_wide_step_wait_that_a_place_comes_free_for)
{
    RackLoad load(2, 20);
    load.fillNear(2, { 500 });
    const std::string job = load.submit("plain", RackLoad::makeStep(10, nearRack));
    load.run({ 100 });
    // Two places come free after 0.5 s and again 2 s later, which is within 3 s.
    BOOST_TEST(load.counters().m_begun == 4U);
    BOOST_TEST(load.runOf(job).m_activeAttempts == 6U);
}

// A task waited for an attempt that runs 7 times as long as predicted until its slack was used up.
BOOST_AUTO_TEST_CASE(a_wait_for_an_attempt_of_a_heavy_tail_is_given_up)
{
    RackLoad load(1, 1);
    load.m_estimateError = [](const TaskName& task) { return task.m_job == "0000000000000001" ? 7.0 : 1.0; };
    load.fillNear(1, { 1'000 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 900 });
    BOOST_TEST(load.rackOf(job) == "");
    load.run({ 700 }); // Overdue by a quarter of the prediction and the time of a report.
    BOOST_TEST(load.rackOf(job) == farRack);
    BOOST_TEST(load.counters().m_givenUp == 1U);
}

// An attempt that was overdue before the task arrived counted as about to end.
BOOST_AUTO_TEST_CASE(a_task_does_not_wait_for_an_attempt_that_is_long_overdue)
{
    RackLoad load(1, 1);
    load.m_estimateError = [](const TaskName& task) { return task.m_job == "0000000000000001" ? 20.0 : 1.0; };
    load.fillNear(1, { 1'000 });
    load.run({ 8'000 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 100 });
    BOOST_TEST(load.rackOf(job) == farRack);
    BOOST_TEST(load.counters().m_begun == 0U);
}

// A place that nothing frees, as what runs there has no known end, was waited for.
BOOST_AUTO_TEST_CASE(a_task_does_not_wait_for_long_running_tasks_or_for_workers_that_leave)
{
    RackLoad load(2, 2);
    StepPlan service = RackLoad::makeStep(1, nearRack);
    service.m_isLongRunning = true;
    load.submit("plain", service);
    load.fillNear(1, { 1'000 });
    for (const std::string id : { "near0", "near1" }) {
        if (!load.m_scheduler.m_workers[static_cast<std::size_t>(load.m_scheduler.m_workerById.at(id))].m_tasks.front().m_run->m_job->m_plan.m_steps.front().m_isLongRunning)
            load.announce(id, true);
    }
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 100 });
    BOOST_TEST(load.rackOf(job) == farRack);
    BOOST_TEST(load.counters().m_begun == 0U);
}

// A worker that a task waited for was drained, and the task waited on.
BOOST_AUTO_TEST_CASE(a_wait_ends_when_the_rack_is_drained)
{
    RackLoad load(1, 1);
    load.fillNear(1, { 1'000 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 300 });
    BOOST_TEST(load.rackOf(job) == "");
    load.announce("near0", true);
    load.run({ 60 });
    BOOST_TEST(load.rackOf(job) == farRack);
    BOOST_TEST(load.counters().m_givenUp == 1U);
}

// Predictions that are wrong by a factor of two may cost at most the bound of the wait.
BOOST_AUTO_TEST_CASE(estimates_wrong_by_a_factor_of_two_cost_at_most_the_bound_of_the_wait)
{
    for (const double error : { 0.5, 2.0 }) {
        RackLoad load(1, 1);
        load.m_estimateError = [error](const TaskName&) { return error; };
        load.fillNear(1, { 1'500 });
        const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
        const auto atOnce = static_cast<std::int64_t>(static_cast<double>(runTime.m_ms) * 3 * error);
        while (load.rackOf(job).empty())
            load.tick();
        BOOST_TEST(load.rackOf(job) == (error < 1 ? nearRack : farRack));
        while (!isFinal(load.m_scheduler.m_jobs.at(job)->m_stage))
            load.tick();
        const std::int64_t took = (load.m_now - load.m_scheduler.m_jobs.at(job)->m_acceptedAt).m_ms;
        BOOST_TEST(took <= (error < 1 ? atOnce : atOnce + 2'100));
    }
}

// Work without data waited behind a step that did not use the free places.
BOOST_AUTO_TEST_CASE(a_waiting_step_leaves_the_free_places_to_others)
{
    constexpr int farWorkers = 19; // Of a pool of 20, some workers may be reserved.
    RackLoad load(1, farWorkers);
    load.fillNear(1, { 1'500 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    load.run({ 300 });
    BOOST_TEST(load.rackOf(job) == "");
    const bool isAnyReserved = std::any_of(load.m_scheduler.m_workers.begin(), load.m_scheduler.m_workers.end(), [](const Worker& worker) { return worker.m_reservedFor; });
    BOOST_TEST(!isAnyReserved);
    const std::string other = load.submit("plain", RackLoad::makeStep(farWorkers, "", { 500 }));
    load.run({ 50 });
    BOOST_TEST(load.runOf(other).m_activeAttempts == static_cast<std::uint32_t>(farWorkers));
    load.run({ 1'400 });
    BOOST_TEST(load.rackOf(job) == nearRack);
}

// A wait ended only when some other event caused a placement pass, or a pass over all of thousands of steps was due.
BOOST_AUTO_TEST_CASE(a_wait_ends_in_time_without_any_other_event)
{
    RackLoad load(1, 1);
    load.fillNear(1, { 1'000 });
    StepPlan unplaceable = RackLoad::makeStep(1, "");
    unplaceable.m_label = "none";
    const std::vector<StepPlan> steps(6'000, unplaceable);
    acceptJob(load.m_scheduler, { .m_id = "00000000000000aa", .m_queue = "plain", .m_policy = { .m_pool = "pool" }, .m_payload = "p", .m_steps = steps, .m_firstStart = {}, .m_period = {}, .m_occurrenceCount = 0, .m_submittedAt = load.m_now }, load.m_now);
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack, { 700 })); // 1,050 ms may be waited.
    load.run({ 20 });
    BOOST_TEST(load.rackOf(job) == "");
    load.m_workers.at("near0").m_runs.front().m_endsAt = farFuture;
    for (const TimePoint end = load.m_now + Duration { 1'200 }; load.m_now < end;) {
        load.m_now = load.m_now + stepLength;
        SchedulerEffects effects;
        scheduler::step(load.m_scheduler, load.m_now, effects);
    }
    BOOST_TEST(load.rackOf(job) == farRack);
    BOOST_TEST(load.counters().m_waitedMs <= 1'050U + 60U);
}

// In a burst above capacity, tasks gave up their waits for places that others used meanwhile, ran far from their data for longer, and the backlog grew.
BOOST_AUTO_TEST_CASE(the_time_for_which_others_use_the_places_does_not_count_as_waited)
{
    constexpr int rounds = 4;
    RackLoad load(1, 1);
    QueueSettings urgent = load.queue("plain");
    urgent.m_name = "urgent";
    urgent.m_slackFactor = 1;
    load.configure({ .m_version = 3, .m_queues = { load.queue("plain"), urgent }, .m_pools = { { .m_name = "pool" } } });
    load.submit("urgent", RackLoad::makeStep(1, nearRack, { 1'000 }));
    load.submit("plain", RackLoad::makeStep(1, farRack, { 1'000 }));
    load.run({ 20 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack));
    for (int i = 0; i < rounds; ++i) {
        load.run({ 900 });
        load.submit("urgent", RackLoad::makeStep(1, nearRack, { 1'000 }));
        load.submit("plain", RackLoad::makeStep(1, farRack, { 1'000 }));
        load.run({ 130 });
        BOOST_TEST(load.rackOf(job) == "");
    }
    load.run({ 1'100 });
    BOOST_TEST(load.rackOf(job) == nearRack);
    BOOST_TEST(load.counters().m_begun == 1U);
    BOOST_TEST(load.counters().m_ended == 1U);
    BOOST_TEST(load.counters().m_waitedMs < 500U);
}

// The clock went on after the last place that a task had left was taken, so that it gave up as soon as the next one came free.
BOOST_AUTO_TEST_CASE(the_clock_stops_when_no_place_is_left)
{
    RackLoad load(1, 1);
    load.fillNear(1, { 5'000 });
    load.run({ 3'100 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack)); // 1.9 s of 2 s are to be waited.
    load.run({ 200 });
    load.submit("plain", RackLoad::makeStep(1, farRack, { 700 }));
    load.run({ 600 });
    BOOST_TEST(load.runOf(job).m_tasks.front().m_waitsForPlaceSince.m_ms == 0);
    BOOST_TEST(load.counters().m_waitedMs <= 300U);
    load.m_workers.at("near0").m_runs.front().m_endsAt = load.m_now + Duration { 1'900 }; // It ends later than predicted, after 2.7 s of the wait.
    load.run({ 2'000 });
    BOOST_TEST(load.rackOf(job) == nearRack);
}

// A long wait for a better place was reported as room that the scheduler does not use, which operators are to report as a fault.
BOOST_AUTO_TEST_CASE(a_long_wait_for_a_better_place_is_reported_as_such)
{
    const auto reportsOf = [](RackLoad& load) { return load.m_scheduler.m_waitSummary.m_byCause[static_cast<std::size_t>(WaitCause::AwaitsBetterPlace)]; };
    RackLoad load(1, 2);
    StepPlan step = RackLoad::makeStep(2, nearRack, { 3'000 });
    load.submit("plain", step); // The second task waits for the place of the first one; 4.5 s may be waited while that runs.
    load.run({ 100 });
    BOOST_TEST(load.counters().m_begun == 1U);
    load.run({ 2'900 });
    BOOST_TEST(load.m_scheduler.m_waitSummary.m_steps == 1U);
    BOOST_TEST(reportsOf(load) == 1U);
}

// A place near the data that was free, but worse for other reasons, was waited for as if it came free later.
BOOST_AUTO_TEST_CASE(a_free_place_is_not_waited_for)
{
    RackLoad load(1, 1);
    StepPlan background = RackLoad::makeStep(4, nearRack, { 60'000 });
    background.m_isBestEffort = true;
    load.submit("plain", background);
    load.run({ 50 });
    StepPlan serving = RackLoad::makeStep(1, nearRack);
    serving.m_tailLatencyTarget = { 50 };
    const std::string job = load.submit("plain", serving);
    load.run({ 100 });
    BOOST_TEST(load.rackOf(job) == farRack); // Four best-effort tasks cost more than the distance.
    BOOST_TEST(load.counters().m_begun == 0U);
}

// Late tasks never waited, ran far from their data for longer, and made more tasks late.
BOOST_AUTO_TEST_CASE(a_late_task_waits_while_its_result_is_of_use)
{
    RackLoad load(1, 1);
    load.fillNear(1, { 13'000 });
    load.submit("plain", RackLoad::makeStep(1, farRack, { 12'000 }));
    load.run({ 50 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack)); // Its objective is 9 s, so it is late after 7.4 s.
    load.run({ 12'100 });
    BOOST_TEST(load.rackOf(job) == "");
    BOOST_TEST(load.counters().m_begun == 1U);
    load.run({ 1'000 });
    BOOST_TEST(load.rackOf(job) == nearRack);
}

// A job of which nothing runs although it could for 3 s counts as lost.
BOOST_AUTO_TEST_CASE(a_job_with_nothing_running_waits_for_at_most_2_s)
{
    RackLoad load(1, 1);
    load.fillNear(1, { 2'500 });
    const std::string job = load.submit("plain", RackLoad::makeStep(1, nearRack, { 20'000 })); // 30 s of 40 s could be waited.
    load.run({ 100 });
    BOOST_TEST(load.rackOf(job) == farRack);
}

namespace {

StepPlan makeRackLocalGang(std::uint32_t width)
{
    StepPlan step = RackLoad::makeStep(width, "");
    step.m_isGang = true;
    step.m_isRackLocal = true;
    return step;
}

/** @return Number of racks on which the tasks of a job have attempts. */
std::size_t racksOf(RackLoad& load, const std::string& job)
{
    std::set<std::string> racks;
    for (std::uint32_t i = 0; i < load.runOf(job).m_tasks.size(); ++i)
        racks.insert(load.rackOf(job, i));
    racks.erase("");
    return racks.size();
}

} // namespace

// A gang started across racks 1 s before one rack had room for all members, and ran 4 s longer.
BOOST_AUTO_TEST_CASE(a_gang_waits_for_room_in_one_rack)
{
    RackLoad load(3, 3);
    load.fillNear(1, { 1'000 });
    const std::string far = load.submit("plain", RackLoad::makeStep(1, farRack, { 30'000 }));
    load.run({ 50 });
    const std::string job = load.submit("plain", makeRackLocalGang(3));
    load.run({ 500 });
    BOOST_TEST(racksOf(load, job) == 0U);
    load.run({ 700 });
    BOOST_TEST(load.runOf(job).m_activeAttempts == 3U);
    BOOST_TEST(racksOf(load, job) == 1U);
    BOOST_TEST(load.counters().m_ended == 3U);
}

// A gang waited for a rack that has room for all members too late.
BOOST_AUTO_TEST_CASE(a_gang_starts_across_racks_when_no_rack_has_room_soon)
{
    RackLoad load(3, 3);
    load.fillNear(1, { 30'000 });
    load.submit("plain", RackLoad::makeStep(1, farRack, { 30'000 }));
    load.run({ 50 });
    const std::string job = load.submit("plain", makeRackLocalGang(3));
    load.run({ 100 });
    BOOST_TEST(load.runOf(job).m_activeAttempts == 3U);
    BOOST_TEST(racksOf(load, job) == 2U);
    BOOST_TEST(load.counters().m_begun == 0U);
}

// Approvals of a gang were requested for workers of all racks alike, so that no rack had enough approved ones.
BOOST_AUTO_TEST_CASE(approvals_of_a_gang_are_requested_for_one_rack_first)
{
    constexpr int racks = 4;
    constexpr int rackWorkers = 15;
    RackLoad load(0, 0);
    for (int i = 0; i < racks * rackWorkers; ++i) {
        const std::string id = "w" + std::to_string(i);
        load.m_workers[id].m_rack = "r" + std::to_string(1 + i % racks) + "-1";
        load.adopt(id);
    }
    std::set<std::string> used;
    for (int i = 0; i < 2; ++i) {
        const std::string job = load.submit("quick", makeRackLocalGang(10));
        load.run({ 100 });
        BOOST_TEST(load.runOf(job).m_activeAttempts == 10U);
        BOOST_TEST(racksOf(load, job) == 1U);
        used.insert(load.rackOf(job));
    }
    BOOST_TEST(used.size() == 2U);
}

// Approvals were requested for workers far from the data first, so that the near ones could not be used.
BOOST_AUTO_TEST_CASE(approvals_are_requested_for_the_better_places_first)
{
    RackLoad load(2, 60);
    load.fillNear(2, { 300 });
    const std::string job = load.submit("quick", RackLoad::makeStep(1, nearRack, { 500 }));
    load.run({ 60 });
    const auto& tickets = load.runOf(job).m_approval.m_tickets;
    BOOST_TEST(tickets.contains(load.m_scheduler.m_workerById.at("near0")));
    BOOST_TEST(tickets.contains(load.m_scheduler.m_workerById.at("near1")));
    load.run({ 500 });
    BOOST_TEST(load.rackOf(job) == nearRack);
}
