/** @file cell_simulation_checks.cpp Checks on what workers run and clients see. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

void CellSimulation::checkStart(const FakeLeaseWorker& worker, const TaskName& task, std::uint32_t attempt)
{
    ++m_result.m_startedAttempts;
    const std::string attemptName = format(task) + " attempt " + std::to_string(attempt) + " on " + worker.m_id;
    if (const auto runningOn = m_workerByRunningTask.find(task); runningOn != m_workerByRunningTask.end())
        reportViolation("TWICE: " + attemptName + " started while the task is running on " + runningOn->second);
    if (m_acknowledgedDone.contains(task))
        reportViolation("TWICE: " + attemptName + " started after the completion of the task was acknowledged");
    m_workerByRunningTask[task] = worker.m_id;
    const auto job = m_jobById.find(task.m_job);
    if (job == m_jobById.end())
        return reportViolation("UNASKED: " + attemptName + " belongs to no submitted job");
    Resources capacity = simulatedCapacity(m_options.m_needsApprovals);
    capacity.m_cpuMilli = countedCapacity(worker);
    if (!fitsInto(usedBy(worker) + stepOf(task).m_size, capacity))
        reportViolation("LIMIT: " + attemptName + " exceeds the worker's capacity, of CPU " + std::to_string(capacity.m_cpuMilli));
    checkCap(task, attemptName);
    checkRoute(worker, task, attemptName);
    m_jobs[job->second].m_hasStarted = true;
    if (task.m_step > 0) {
        // Steps have at most 9 tasks (see makePlan()), so that these indices cover every task of the previous step.
        for (std::uint32_t i = 0; i < 64; ++i) {
            const TaskName previous { .m_job = task.m_job, .m_occurrence = 0, .m_step = task.m_step - 1, .m_index = i };
            if (m_workerByRunningTask.contains(previous))
                reportViolation("ORDER: " + attemptName + " started while " + format(previous) + " of the previous step is running");
        }
    }
}

std::int64_t CellSimulation::countedCapacity(const FakeLeaseWorker& worker) const
{
    const bool isAnnounced = m_now >= worker.m_shrunkAtMs + heartbeat.m_ms + contactTime.m_ms;
    const bool isInTouch = m_now >= m_disruptedUntil + contactTime.m_ms;
    return isAnnounced && isInTouch && !m_isLateOrder ? worker.m_capacityCpuMilli : simulatedCapacity(m_options.m_needsApprovals).m_cpuMilli;
}

bool CellSimulation::mayBeGivenUp(const ClientJob& job) const
{
    constexpr std::int64_t probation = 300; // Workers that a task makes crash do so within this time.
    constexpr std::int64_t reportTime = 200; // Until the leader knows that it has passed.
    return std::any_of(m_agesAtCrash.begin(), m_agesAtCrash.end(), [&](const auto& entry) {
        return entry.first.m_job == job.m_id && std::count_if(entry.second.begin(), entry.second.end(), [](std::int64_t age) { return age <= probation + reportTime; }) >= 2;
    });
}

std::string CellSimulation::describeCrashes(const ClientJob& job) const
{
    std::string text;
    for (const auto& [task, ages] : m_agesAtCrash) {
        if (task.m_job != job.m_id || ages.size() < 2)
            continue;
        text += "; workers crashed under " + format(task) + " when it had run for";
        for (const std::int64_t age : ages)
            text += " " + std::to_string(age) + " ms";
    }
    return text;
}

Resources CellSimulation::usedBy(const FakeLeaseWorker& worker) const
{
    Resources used;
    for (const auto& [task, run] : worker.m_running)
        used = used + stepOf(task).m_size;
    return used;
}

std::int64_t CellSimulation::countRoom(const ClientJob& job, std::uint32_t step, bool isFreeOnly, const std::string& pool) const
{
    constexpr std::int64_t maxPerWorker = 64;
    const Resources& size = job.m_plan.m_steps.at(step).m_size;
    std::int64_t room = 0;
    for (const FakeLeaseWorker& worker : m_workers) {
        const bool isUsable = !worker.m_isDown && !worker.m_isUnreachable && canTakeOrders(worker) && poolOfWorker(worker.m_id) == pool;
        if (!isUsable || !FakeApprovals::isApproved({ .m_job = job.m_id, .m_occurrence = 0, .m_step = step, .m_index = 0 }, worker.m_id, job.m_queue->m_approvedShare))
            continue;
        Resources free = simulatedCapacity(m_options.m_needsApprovals);
        if (isFreeOnly)
            free = free - usedBy(worker);
        for (std::int64_t i = 0; i < maxPerWorker && fitsInto(size, free); ++i) {
            free = free - size;
            ++room;
        }
    }
    return room;
}

bool CellSimulation::fitsEverywhere(const ClientJob& job, std::uint32_t step, std::int64_t tasks) const
{
    std::set<std::string> pools;
    for (const FakeLeaseWorker& worker : m_workers)
        pools.insert(poolOfWorker(worker.m_id));
    return std::all_of(pools.begin(), pools.end(), [&](const std::string& pool) { return countRoom(job, step, false, pool) >= tasks; });
}

std::optional<std::pair<std::uint32_t, std::uint32_t>> CellSimulation::openStepOf(const ClientJob& job) const
{
    for (std::uint32_t step = 0; step < job.m_plan.m_steps.size(); ++step) {
        std::uint32_t open = 0;
        for (std::uint32_t i = 0; i < job.m_plan.m_steps[step].m_count; ++i)
            open += m_endedDone.contains({ .m_job = job.m_id, .m_occurrence = 0, .m_step = step, .m_index = i }) ? 0 : 1;
        if (open > 0)
            return std::pair { step, open };
    }
    return std::nullopt;
}

bool CellSimulation::isHalfFree(const std::string& pool) const
{
    Resources used;
    Resources capacity;
    for (const FakeLeaseWorker& worker : m_workers) {
        if (worker.m_isDown || poolOfWorker(worker.m_id) != pool)
            continue;
        used = used + usedBy(worker);
        capacity = capacity + simulatedCapacity(m_options.m_needsApprovals);
    }
    return used.m_cpuMilli * 2 < capacity.m_cpuMilli && used.m_gpus * 2 <= capacity.m_gpus;
}

bool CellSimulation::couldRun(const ClientJob& job) const
{
    if (!job.m_isAccepted || job.m_isCancelRequested || job.m_isGivenUp || job.m_isComplete)
        return false;
    const auto open = openStepOf(job);
    const std::int64_t needed = open && job.m_queue->m_isGang ? open->second : 1;
    return open && countRoom(job, open->first, true) >= 2 * needed;
}

void CellSimulation::checkStandstill()
{
    constexpr std::int64_t standstill = 3'000;
    const std::int64_t finishMs = m_options.m_finishTime.m_ms;
    const std::int64_t startMs = m_options.m_startTime.m_ms;
    const bool isFinishing = finishMs > 0 && m_now >= m_loadEnd;
    const bool isCalm = startMs > 0 && m_now >= m_disruptedUntil + contactTime.m_ms;
    if (!isFinishing && startMs == 0)
        return;
    std::set<std::string> running;
    for (const auto& [task, worker] : m_workerByRunningTask)
        running.insert(task.m_job);
    std::map<std::string, bool> isRoomy; // By pool.
    for (const SimulatedQueue& queue : m_queues)
        isRoomy.try_emplace(poolOfQueue(queue), isHalfFree(poolOfQueue(queue)));
    const auto follow = [this](std::int64_t& since, bool isStill) {
        if (!isStill)
            since = 0;
        else if (since == 0)
            since = m_now;
        return isStill ? m_now - since : 0;
    };
    for (ClientJob& job : m_jobs) {
        const bool isStill = isRoomy.at(poolOfQueue(*job.m_queue)) && !running.contains(job.m_id) && couldRun(job);
        const std::int64_t finishing = follow(job.m_stillSince, isStill && isFinishing);
        const std::int64_t calm = follow(job.m_calmStillSince, isStill && isCalm);
        const bool isLate = finishing >= standstill && m_now >= m_loadEnd + finishMs;
        const bool isStartLate = startMs > 0 && calm >= startMs;
        if ((isLate || isStartLate) && !std::exchange(job.m_isStillReported, true))
            reportViolation("LOST: job " + job.m_id + " of queue " + job.m_queue->m_name + " could run and has stood still since " + std::to_string(isLate ? job.m_stillSince : job.m_calmStillSince) + " ms, submitted at " + std::to_string(job.m_firstSentAt) + " ms");
    }
}

void CellSimulation::checkRecovery()
{
    constexpr std::int64_t recoveryTime = 12'000; // The platform's bound, from the end of the fault.
    constexpr std::int64_t latenessFactor = 3; // A result is of some use up to this multiple of its objective.
    constexpr int leastShare = 4; // A quarter is to be served.
    const std::int64_t lostAt = m_loadStart + m_options.m_powerLoss.m_at.m_ms;
    const std::int64_t recoveredAt = lostAt + m_options.m_powerLoss.m_downTime.m_ms + recoveryTime;
    int earlyJobs = 0;
    int earlyServed = 0;
    for (const ClientJob& job : m_jobs) {
        const std::int64_t usefulUntil = job.m_firstSentAt + latenessFactor * objectiveOf(*job.m_queue, job.m_plan).m_ms;
        const bool isServed = job.m_isComplete && job.m_completeAt <= usefulUntil;
        const bool isEarly = usefulUntil < lostAt;
        const bool isLate = job.m_firstSentAt >= recoveredAt;
        if (job.m_isCancelRequested || job.m_firstSentAt == 0)
            continue;
        earlyJobs += isEarly ? 1 : 0;
        earlyServed += isEarly && isServed ? 1 : 0;
        m_result.m_lateJobs += isLate ? 1 : 0;
        m_result.m_lateServed += isLate && isServed ? 1 : 0;
    }
    if (earlyServed * leastShare >= earlyJobs && m_result.m_lateServed * leastShare < m_result.m_lateJobs)
        reportViolation("RECOVER: " + std::to_string(m_result.m_lateServed) + " of " + std::to_string(m_result.m_lateJobs) + " jobs that were submitted later than 12 s after the daemons were back were served");
}

void CellSimulation::finish()
{
    for (SimulatedNode& node : m_nodes)
        stopNode(node, 0);
    if (m_options.m_powerLoss.m_at.m_ms > 0)
        checkRecovery();
    checkSubmissions();
    checkSilentSubmissions();
    for (const ClientJob& job : m_jobs) {
        m_result.m_accepted += job.m_isAccepted ? 1 : 0;
        m_result.m_complete += job.m_isComplete ? 1 : 0;
        m_result.m_cancelled += job.m_cancelAckedAt > 0 ? 1 : 0;
        const bool isRefused = !job.m_isAccepted && !job.m_mayBeAccepted;
        m_result.m_refused += isRefused ? 1 : 0;
        if (isRefused && job.m_hasStarted)
            reportViolation("REFUSED: job " + job.m_id + " ran although every submission was refused");
        if (job.m_isAccepted && !job.m_isCancelRequested && !job.m_isGivenUp && !job.m_isComplete)
            reportViolation("LOST: job " + job.m_id + " was accepted but is not complete at the end");
    }
    for (const auto& [task, worker] : m_workerByRunningTask) {
        if (m_jobs[m_jobById.at(task.m_job)].m_cancelAckedAt > 0)
            reportViolation("UNASKED: " + format(task) + " is running on " + worker + " although the cancellation of its job was acknowledged");
    }
}

} // namespace bulrushloft::test
