/** @file better_place.cpp Forecast of room near data, or in one rack, for the steps of a placement pass. */
#include "process/scheduler/better_place.h"

#include "core/hash_func.h"
#include "core/log_func.h"
#include "process/scheduler/approvals.h"
#include "process/scheduler/order_health.h"
#include "process/scheduler/place_wait.h"
#include "process/scheduler/scheduler_detail.h"

#include <algorithm>
#include <functional>

namespace bulrushloft::scheduler::detail {

namespace {

    const Worker& workerAt(const Scheduler& scheduler, const PoolView& view, std::uint32_t position)
    {
        return scheduler.m_workers[static_cast<std::size_t>(view.m_workers[position])];
    }

    /** @return The worker's forecast, with the tasks that this pass has placed there. */
    WorkerOutlook& outlookOf(const Scheduler& scheduler, PoolView& view, std::uint32_t position, TimePoint now)
    {
        view.m_outlooks.resize(view.m_workers.size());
        WorkerOutlook& outlook = view.m_outlooks[position];
        const Worker& worker = workerAt(scheduler, view, position);
        if (outlook.m_attempts == worker.m_tasks.size()) // Attempts are only added during a pass.
            return outlook;
        outlook.m_attempts = worker.m_tasks.size();
        outlook.m_roomAt.reset();
        outlook.m_ends = expectedEndsOf(worker, now, { .m_remoteFactor = scheduler.m_options.m_remoteFactor, .m_extendsOverdue = true });
        return outlook;
    }

    /** @return When each of up to the given number of tasks is expected to have room on a worker besides those that others wait for there. */
    std::vector<TimePoint> roomTimesAt(const Scheduler& scheduler, const StepRun& run, PoolView& view, std::uint32_t position, std::uint32_t limit, TimePoint now)
    {
        const WorkerOutlook& outlook = outlookOf(scheduler, view, position, now);
        std::vector<ExpectedEnd> ends = outlook.m_ends;
        Resources free = view.m_free[position];
        for (const ExpectedEnd& claim : outlook.m_claims) {
            ends.insert(std::upper_bound(ends.begin(), ends.end(), claim, [](const ExpectedEnd& one, const ExpectedEnd& other) { return one.m_at < other.m_at; }), claim);
            free = free - claim.m_grant;
        }
        std::vector<TimePoint> times;
        while (times.size() < limit) {
            const TimePoint roomAt = expectedRoomAt(ends, free, grantOf(run), now);
            if (roomAt >= farFuture)
                break;
            times.push_back(roomAt);
            free = free - grantOf(run);
        }
        return times;
    }

    /**
     * Load: hundreds of steps wait for the same rack, and each looks at all of its workers in each pass.
     * @return When a task of the step is expected to have room on a worker, from an earlier search for the same size if nothing has changed since; farFuture for never.
     */
    TimePoint firstRoomAt(const Scheduler& scheduler, const StepRun& run, const Resources& size, PoolView& view, std::uint32_t position, TimePoint now)
    {
        WorkerOutlook& outlook = outlookOf(scheduler, view, position, now);
        if (outlook.m_roomAt && outlook.m_searchedSize == size)
            return *outlook.m_roomAt;
        const std::vector<TimePoint> times = roomTimesAt(scheduler, run, view, position, 1, now);
        outlook.m_searchedSize = size;
        outlook.m_roomAt = times.empty() ? farFuture : times.front();
        return *outlook.m_roomAt;
    }

    /** @return The workers in the rack of a step's data by the time at which they have room for one of its tasks. */
    RackRoom& roomInDataRack(const Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint now)
    {
        const std::string& rack = planOf(run).m_dataRack;
        const Resources size = grantOf(run);
        const auto found = std::find_if(view.m_rackRooms.begin(), view.m_rackRooms.end(), [&](const RackRoom& room) { return room.m_size == size && room.m_rack == rack; });
        if (found != view.m_rackRooms.end())
            return *found;
        RackRoom& room = view.m_rackRooms.emplace_back(RackRoom { .m_rack = rack, .m_size = size, .m_times = {} });
        for (std::uint32_t i = 0; i < view.m_workers.size(); ++i) {
            const TimePoint roomAt = workerAt(scheduler, view, i).m_rack == rack ? firstRoomAt(scheduler, run, size, view, i, now) : farFuture;
            if (roomAt < farFuture)
                room.m_times.emplace_back(roomAt, i);
        }
        std::make_heap(room.m_times.begin(), room.m_times.end(), std::greater<>());
        return room;
    }

    /** Brings the top of a heap up to date. @return The earliest time in it; farFuture if it is empty. */
    TimePoint updateEarliest(const Scheduler& scheduler, const StepRun& run, PoolView& view, RackRoom& room, TimePoint now)
    {
        while (!room.m_times.empty()) {
            const auto [time, position] = room.m_times.front();
            const TimePoint roomAt = firstRoomAt(scheduler, run, room.m_size, view, position, now);
            if (roomAt <= time)
                return time;
            std::pop_heap(room.m_times.begin(), room.m_times.end(), std::greater<>());
            room.m_times.back().first = roomAt;
            if (roomAt < farFuture)
                std::push_heap(room.m_times.begin(), room.m_times.end(), std::greater<>());
            else
                room.m_times.pop_back();
        }
        return farFuture;
    }

    /** @return Number of further tasks of the step that its limit of tasks on one worker allows there. */
    std::uint32_t remainingLimitAt(const StepRun& run, const PoolView& view, std::uint32_t position)
    {
        const std::uint32_t limit = planOf(run).m_perWorkerLimit;
        if (limit == 0)
            return static_cast<std::uint32_t>(run.m_tasks.size());
        const auto found = run.m_attemptsByWorker.find(view.m_workers[position]);
        std::uint32_t used = found == run.m_attemptsByWorker.end() ? 0 : found->second;
        if (!view.m_outlooks.empty())
            used += static_cast<std::uint32_t>(std::count(view.m_outlooks[position].m_claimants.begin(), view.m_outlooks[position].m_claimants.end(), &run));
        return limit - std::min(limit, used);
    }

    /** @return From when on the step may start on a worker as far as approvals are concerned; farFuture when it may not, or that is not known. */
    TimePoint approvedAt(const StepRun& run, const PoolView& view, std::uint32_t position, TimePoint now)
    {
        const auto& policy = queuePolicyOf(*run.m_job).m_approval;
        if (!policy || hasTicket(run, view.m_workers[position], now))
            return now;
        return run.m_approval.m_tickets.contains(view.m_workers[position]) ? now + approvalRequestDuration(*policy, 1) : farFuture;
    }

    /** @return When tasks of the step may have room on a worker; empty when it is not for them. */
    std::vector<TimePoint> placesAt(const Scheduler& scheduler, const StepRun& run, PoolView& view, std::uint32_t position, std::uint32_t tasks, TimePoint now)
    {
        const Worker& worker = workerAt(scheduler, view, position);
        const bool isOpen = !view.m_reservedFor[position] || view.m_reservedFor[position] == &run;
        const TimePoint usableAt = isOpen ? approvedAt(run, view, position, now) : farFuture;
        if (usableAt >= farFuture || !isSuitable(run, worker) || areOrdersFailing(worker, now))
            return {};
        std::vector<TimePoint> times = roomTimesAt(scheduler, run, view, position, std::min(tasks, remainingLimitAt(run, view, position)), now);
        for (TimePoint& time : times)
            time = std::max(time, usableAt);
        return times;
    }

    /**
     * Chooses the bound of a wait. One that begins when no slack is left cannot use it up; what counts then is whether the result is still of use.
     * @return Latest start that meets the objective; for a wait that begins later, the latest one whose result is of use.
     */
    TimePoint latestStartOf(const UrgencyInput& input, TimePoint since)
    {
        const TimePoint inTime = input.m_dueAt + input.m_objective - input.m_remaining;
        return since < inTime ? inTime : input.m_dueAt + input.m_objective * usefulLatenessFactor - input.m_remaining;
    }

    /** @return Number of the step's tasks that a pass has left room for on a worker. */
    std::int64_t roomLeftAt(const Scheduler& scheduler, const StepRun& run, const PoolView& view, std::uint32_t position, TimePoint now)
    {
        const Resources size = grantOf(run);
        if (!hasRoom(view, position, size, run) || approvedAt(run, view, position, now) > now || !isSuitable(run, workerAt(scheduler, view, position)))
            return 0;
        return countFitting(size, view.m_free[position], remainingLimitAt(run, view, position));
    }

    /** @return Whether a pass has left enough room for the step: for a gang all of its members, for others a task. */
    bool isRoomLeft(const Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint now)
    {
        const std::int64_t needed = planOf(run).m_isGang ? static_cast<std::int64_t>(run.m_tasks.size()) : 1;
        if (needed == 1 && view.m_lastRoomLeft < view.m_workers.size() && roomLeftAt(scheduler, run, view, view.m_lastRoomLeft, now) > 0)
            return true;
        std::int64_t room = 0;
        for (std::uint32_t i = 0; i < view.m_workers.size() && room < needed; ++i) {
            const std::int64_t here = roomLeftAt(scheduler, run, view, i, now);
            room += here;
            view.m_lastRoomLeft = here > 0 ? i : view.m_lastRoomLeft;
        }
        return room >= needed;
    }

    void stopClock(Scheduler& scheduler, Task& task, TimePoint now)
    {
        if (task.m_waitsForPlaceSince == TimePoint {})
            return;
        scheduler.m_counters.m_placeWaits.m_waitedMs += static_cast<std::uint64_t>((now - task.m_waitsForPlaceSince).m_ms);
        task.m_waitsForPlaceSince = {};
    }

} // namespace

double placeFactorOf(const Scheduler& scheduler, const StepRun& run, const Worker& worker)
{
    const std::string& rack = planOf(run).m_dataRack;
    return rack.empty() || rack == worker.m_rack ? 1 : scheduler.m_options.m_remoteFactor;
}

std::string preferredRackOf(const Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint now)
{
    if (!scheduler.m_options.m_waitsForBetterPlace || !planOf(run).m_isGang || !planOf(run).m_isRackLocal)
        return planOf(run).m_dataRack;
    const auto members = static_cast<std::uint32_t>(run.m_tasks.size());
    std::map<std::string, std::vector<TimePoint>> byRack;
    for (std::uint32_t i = 0; i < view.m_workers.size(); ++i) {
        const Worker& worker = workerAt(scheduler, view, i);
        const auto mark = static_cast<std::size_t>(view.m_workers[i]);
        const bool isDenied = mark < run.m_approval.m_marks.size() && run.m_approval.m_marks[mark] == ApprovalMark::Denied;
        if (isDenied || !isSuitable(run, worker))
            continue;
        const std::vector<TimePoint> times = roomTimesAt(scheduler, run, view, i, std::min(members, remainingLimitAt(run, view, i)), now);
        byRack[worker.m_rack].insert(byRack[worker.m_rack].end(), times.begin(), times.end());
    }
    std::pair<TimePoint, std::uint64_t> best { farFuture, 0 };
    std::string rack;
    for (auto& [name, times] : byRack) {
        if (times.size() < members)
            continue;
        std::nth_element(times.begin(), times.begin() + members - 1, times.end());
        const std::pair key { times[members - 1], stableHash(name, stableHash(run.m_job->m_plan.m_id)) };
        if (key >= best)
            continue;
        best = key;
        rack = name;
    }
    return rack;
}

Duration remoteDelayOf(const Scheduler& scheduler, const StepRun& run, const Worker& worker, const std::string& preferredRack)
{
    if (!scheduler.m_options.m_waitsForBetterPlace || preferredRack.empty() || preferredRack == worker.m_rack)
        return {};
    return { static_cast<std::int64_t>(static_cast<double>(predictRunTime(scheduler, *run.m_job, run.m_step).m_ms) * (scheduler.m_options.m_remoteFactor - 1)) };
}

std::optional<BetterPlace> findBetterPlace(Scheduler& scheduler, const StepRun& run, const Task& task, PoolView& view, TimePoint now)
{
    const auto hasFailedAt = [&](std::uint32_t position) { return std::find(task.m_failedOn.begin(), task.m_failedOn.end(), view.m_workers[position]) != task.m_failedOn.end(); };
    std::optional<BetterPlace> best;
    std::vector<std::pair<TimePoint, std::uint32_t>> seen;
    RackRoom& room = roomInDataRack(scheduler, run, view, now);
    for (TimePoint next = updateEarliest(scheduler, run, view, room, now); next < (best ? best->m_roomAt : farFuture); next = updateEarliest(scheduler, run, view, room, now)) {
        const auto [roomAt, position] = room.m_times.front();
        std::pop_heap(room.m_times.begin(), room.m_times.end(), std::greater<>());
        room.m_times.pop_back();
        seen.emplace_back(roomAt, position);
        const std::vector<TimePoint> times = hasFailedAt(position) ? std::vector<TimePoint> {} : placesAt(scheduler, run, view, position, 1, now);
        if (!times.empty() && (!best || times.front() < best->m_roomAt))
            best = BetterPlace { .m_position = position, .m_roomAt = times.front() };
    }
    for (const auto& entry : seen) {
        room.m_times.push_back(entry);
        std::push_heap(room.m_times.begin(), room.m_times.end(), std::greater<>());
    }
    return best;
}

TimePoint earliestRoomNearData(Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint now)
{
    return updateEarliest(scheduler, run, view, roomInDataRack(scheduler, run, view, now), now);
}

std::optional<GangPlace> findGangPlace(Scheduler& scheduler, const StepRun& run, PoolView& view, TimePoint latest, TimePoint now)
{
    const auto members = static_cast<std::uint32_t>(run.m_tasks.size());
    const Resources size = grantOf(run);
    std::map<std::string, std::vector<std::pair<TimePoint, std::uint32_t>>> byRack;
    for (std::uint32_t i = 0; i < view.m_workers.size(); ++i) {
        if (firstRoomAt(scheduler, run, size, view, i, now) > latest)
            continue;
        for (const TimePoint time : placesAt(scheduler, run, view, i, members, now))
            byRack[workerAt(scheduler, view, i).m_rack].emplace_back(time, i);
    }
    std::optional<GangPlace> best;
    for (auto& [rack, places] : byRack) {
        if (places.size() < members)
            continue;
        std::sort(places.begin(), places.end());
        if (best && best->m_roomAt <= places[members - 1].first)
            continue;
        best = GangPlace { .m_roomAt = places[members - 1].first, .m_positions = {} };
        for (std::uint32_t i = 0; i < members; ++i)
            best->m_positions.push_back(places[i].second);
    }
    return best;
}

bool mayWaitForPlace(const Scheduler& scheduler, const StepRun& run, Urgency urgency)
{
    const StepPlan& plan = planOf(run);
    return scheduler.m_options.m_waitsForBetterPlace && (urgency.m_class == UrgencyClass::InTime || urgency.m_class == UrgencyClass::Late) && !plan.m_isLongRunning && !plan.m_isBestEffort;
}

bool waitForPlace(Scheduler& scheduler, StepRun& run, Task& task, const PlaceOffer& offer, TimePoint now)
{
    constexpr Duration longestIdleWait { 2'000 }; ///< A job that could run and has had nothing running for 3 s counts as lost; starting takes some of this time.
    const TimePoint since = task.m_waitsForPlaceSince == TimePoint {} ? now : task.m_waitsForPlaceSince;
    const bool isIdle = std::all_of(run.m_job->m_runs.begin(), run.m_job->m_runs.end(), [](const auto& each) { return each->m_activeAttempts == 0; });
    const PlaceWaitInput input {
        .m_since = since,
        .m_roomAt = offer.m_roomAt,
        .m_runTime = predictRunTime(scheduler, *run.m_job, run.m_step),
        .m_factorNow = offer.m_factorNow,
        .m_factorThen = offer.m_factorThen,
        .m_latestStart = latestStartOf(run.m_urgencyInput, since),
        .m_longestWait = isIdle ? longestIdleWait : farFuture - now,
    };
    if (!decidePlaceWait(input, now).m_isWorthwhile)
        return false;
    scheduler.m_counters.m_placeWaits.m_begun += task.m_hasLeftPlace ? 0 : 1;
    task.m_hasLeftPlace = true;
    task.m_waitsForPlaceSince = since;
    run.m_isPlaceClockRunning = true;
    run.m_waitsForPlace = true;
    return true;
}

void pausePlaceWait(Scheduler& scheduler, StepRun& run, PoolView& view, TimePoint now)
{
    if (!run.m_isPlaceClockRunning || isRoomLeft(scheduler, run, view, now))
        return;
    run.m_isPlaceClockRunning = false;
    for (Task& task : run.m_tasks)
        stopClock(scheduler, task, now);
}

void claimPlace(PoolView& view, std::uint32_t position, const StepRun& run, TimePoint endsAt)
{
    view.m_outlooks[position].m_roomAt.reset();
    view.m_outlooks[position].m_claims.push_back({ .m_at = endsAt, .m_grant = grantOf(run) });
    view.m_outlooks[position].m_claimants.push_back(&run);
}

void endPlaceWait(Scheduler& scheduler, Task& task, bool isBetter, TimePoint now)
{
    if (!std::exchange(task.m_hasLeftPlace, false))
        return;
    PlaceWaitCounters& counters = scheduler.m_counters.m_placeWaits;
    ++(isBetter ? counters.m_ended : counters.m_givenUp);
    stopClock(scheduler, task, now);
}

void reportPlaceWaits(Scheduler& scheduler, TimePoint now)
{
    constexpr Duration interval { 1'000 };
    const PlaceWaitCounters& counters = scheduler.m_counters.m_placeWaits;
    if (counters == scheduler.m_reportedPlaceWaits || now - scheduler.m_placeWaitsReportedAt < interval)
        return;
    const PlaceWaitCounters& last = scheduler.m_reportedPlaceWaits;
    const auto waiting = std::count_if(scheduler.m_waitingSteps.begin(), scheduler.m_waitingSteps.end(), [](const StepRun* run) { return run->m_waitsForPlace; });
    logEvent(LogLevel::Info, "place-waits", { { "begun", counters.m_begun - last.m_begun }, { "ended_by_better_place", counters.m_ended - last.m_ended }, { "given_up", counters.m_givenUp - last.m_givenUp }, { "waited_ms", counters.m_waitedMs - last.m_waitedMs }, { "steps_waiting", waiting } });
    scheduler.m_reportedPlaceWaits = counters;
    scheduler.m_placeWaitsReportedAt = now;
}

} // namespace bulrushloft::scheduler::detail
