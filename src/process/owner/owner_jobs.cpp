/** @file owner_jobs.cpp Callers' calls that concern jobs: admission, status, waiting, cancellation. */
#include "process/owner/owner_detail.h"

#include "process/journal/journal_func.h"
#include "process/journal/shard_state_func.h"
#include "process/owner/health_func.h"
#include "request/job_func.h"

#include <algorithm>

namespace bulrushloft {

namespace detail {

    namespace {

        constexpr std::size_t maxTaskViews = 100;
        constexpr Duration recordTimeout { 10'000 };
        constexpr Duration retryDelay { 1'000 };

        bool isSameSubmission(const JobSpec& one, const JobSpec& other)
        {
            return one.m_name == other.m_name && one.m_team == other.m_team && one.m_kind == other.m_kind && one.m_taskCount == other.m_taskCount
                && one.m_declared == other.m_declared && one.m_isIdempotent == other.m_isIdempotent && one.m_payload == other.m_payload;
        }

        std::string describeSize(const Resources& size)
        {
            return std::to_string(size.m_cpuMilli) + " thousandths of a core, " + std::to_string(size.m_memoryMb) + " MiB and " + std::to_string(size.m_gpus) + " GPUs";
        }

        Resources largestWorker(const ShardOwner& owner)
        {
            Resources largest;
            for (const Worker& worker : owner.m_workers) {
                const Resources& capacity = worker.m_boot != 0 ? worker.m_capacity : worker.m_vm.m_capacity;
                largest = { std::max(largest.m_cpuMilli, capacity.m_cpuMilli), std::max(largest.m_memoryMb, capacity.m_memoryMb), std::max(largest.m_gpus, capacity.m_gpus) };
            }
            return largest;
        }

        Expected<void> checkFits(const ShardOwner& owner, const JobSpec& spec)
        {
            const std::int64_t fittingTasks = countFittingTasks(owner, spec.m_declared);
            if (fittingTasks == 0)
                return fail(ErrorKind::TooLarge, "a task of " + describeSize(spec.m_declared) + " does not fit on any worker of pool " + owner.m_pool, "declare at most " + describeSize(largestWorker(owner)));
            if (spec.m_kind == JobKind::Gang && fittingTasks < spec.m_taskCount)
                return fail(ErrorKind::TooLarge, "the " + std::to_string(spec.m_taskCount) + " tasks of the gang can't run at the same time: only " + std::to_string(fittingTasks) + " of them fit on shard " + owner.m_state.m_shard + " even when nothing else runs on it", "submit a smaller gang, or a batch job");
            return {};
        }

        Expected<void> checkTeam(ShardOwner& owner, const JobSpec& spec)
        {
            const auto team = owner.m_policy->m_teams.find(spec.m_team);
            if (team == owner.m_policy->m_teams.end())
                return fail(ErrorKind::UnknownName, "there is no team \"" + spec.m_team + "\"", "use a team that the settings define, or add one with: bulrushctl settings set teams/" + spec.m_team);
            if (!owner.m_policy->m_classes.contains(spec.m_workClass))
                return fail(ErrorKind::UnknownName, "there is no work class \"" + spec.m_workClass + "\"", "use a work class that the settings define; see: bulrushctl settings get cell/classes");
            const auto quota = team->second.m_quota.find(owner.m_pool);
            const std::int64_t simultaneousTasks = spec.m_kind == JobKind::Gang ? spec.m_taskCount : 1;
            if (quota != team->second.m_quota.end() && !fitsInto(spec.m_declared * (simultaneousTasks * owner.m_poolShards), quota->second))
                return fail(ErrorKind::QuotaExceeded, "the job needs more resources at the same time than the quota of team " + spec.m_team + " in pool " + owner.m_pool + ", which is " + describeSize(quota->second), "declare fewer resources or have the quota raised");
            const std::int64_t waiting = owner.m_teams[spec.m_team].m_waitingTasks;
            if (waiting + spec.m_taskCount > team->second.m_waitingTaskLimit)
                return fail(ErrorKind::Overloaded, "team " + spec.m_team + " has " + std::to_string(waiting) + " waiting tasks; its limit is " + std::to_string(team->second.m_waitingTaskLimit), "retry when some of them have started");
            return {};
        }

        void onSubmit(ShardOwner& owner, const SubmitCall& call, CallerToken caller, TimePoint now, Effects& effects)
        {
            const JobSpec& spec = call.m_spec;
            if (const auto known = owner.m_state.m_jobByKey.find(spec.m_key); known != owner.m_state.m_jobByKey.end()) {
                const Job& job = owner.m_state.m_jobs.at(known->second);
                if (isSameSubmission(job.m_spec, spec)) {
                    effects.m_answers.push_back({ .m_caller = caller, .m_answer = viewJob(owner, job, false) });
                    return;
                }
            }
            if (const auto pending = owner.m_pendingAccepts.find(spec.m_key); pending != owner.m_pendingAccepts.end()) {
                if (isSameSubmission(pending->second.m_spec, spec)) {
                    pending->second.m_callers.push_back(caller);
                    pending->second.m_deadline = now + recordTimeout;
                } else
                    answerError(effects, caller, { ErrorKind::Conflict, "the key \"" + spec.m_key + "\" is already used by a different submission", "use a new key for new work" }, RunOutcome::NotRun);
                return;
            }
            AcceptJobRecord record { spec };
            auto checked = testRecord(owner.m_state, record);
            if (checked)
                checked = checkTeam(owner, spec);
            if (checked)
                checked = checkFits(owner, spec);
            if (!checked)
                return answerError(effects, caller, checked.error(), RunOutcome::NotRun);
            if (isLogSlow(owner, now)) {
                ++owner.m_counters.m_shed;
                return answerError(effects, caller, { ErrorKind::Unavailable, "the log does not answer, so no work can be accepted", "retry with the same key" }, RunOutcome::NotRun, retryDelay);
            }
            owner.m_pendingAccepts[spec.m_key] = { .m_spec = spec, .m_callers = { caller }, .m_deadline = now + recordTimeout };
            queueRecord(owner, std::move(record));
        }

        bool isWaitSatisfied(const ShardOwner& owner, const Job& job, WaitUntil until)
        {
            if (until == WaitUntil::Now || isFinal(stateOf(job)))
                return true;
            if (until == WaitUntil::Ended)
                return false;
            const JobView view = viewJob(owner, job, false);
            return view.m_counts[static_cast<std::size_t>(TaskState::Waiting)] == 0 && view.m_runningCount >= view.m_counts[static_cast<std::size_t>(TaskState::Placed)];
        }

        Error unknownJobError(const JobId& id)
        {
            return { ErrorKind::UnknownName, "there is no job " + format(id), "list the jobs of the team; ended jobs are removed after the retention period" };
        }

        void onStatus(ShardOwner& owner, const StatusCall& call, CallerToken caller, TimePoint now, Effects& effects)
        {
            const Job* const job = findJob(owner.m_state, call.m_job.m_number);
            if (!job)
                return answerError(effects, caller, unknownJobError(call.m_job), RunOutcome::NotRun);
            if (call.m_maxWait.m_ms <= 0 || isWaitSatisfied(owner, *job, call.m_until)) {
                effects.m_answers.push_back({ .m_caller = caller, .m_answer = viewJob(owner, *job, true) });
                return;
            }
            owner.m_jobWaiters.push_back({ .m_caller = caller, .m_job = job->m_number, .m_until = call.m_until, .m_deadline = now + call.m_maxWait });
        }

        void onCancel(ShardOwner& owner, const CancelCall& call, CallerToken caller, TimePoint now, Effects& effects)
        {
            const Job* const job = findJob(owner.m_state, call.m_job.m_number);
            if (!job)
                return answerError(effects, caller, unknownJobError(call.m_job), RunOutcome::NotRun);
            if (isFinal(stateOf(*job)) || job->m_isCancelRequested) {
                effects.m_answers.push_back({ .m_caller = caller, .m_answer = viewJob(owner, *job, false) });
                return;
            }
            if (isLogSlow(owner, now))
                return answerError(effects, caller, { ErrorKind::Unavailable, "the log does not answer, so the cancellation can't be recorded", "retry the cancellation" }, RunOutcome::Unknown, retryDelay);
            queueCancel(owner, job->m_number, now);
            owner.m_jobWaiters.push_back({ .m_caller = caller, .m_job = job->m_number, .m_until = WaitUntil::Now, .m_deadline = now + recordTimeout });
        }

        bool matchesSelector(const Job& job, const JobSelector& selector)
        {
            const JobSpec& spec = job.m_spec;
            return (selector.m_pool.empty() || spec.m_pool == selector.m_pool) && (selector.m_team.empty() || spec.m_team == selector.m_team)
                && (selector.m_name.empty() || spec.m_name == selector.m_name) && (selector.m_state.empty() || nameOf(stateOf(job)) == selector.m_state);
        }

        void onList(const ShardOwner& owner, const ListCall& call, CallerToken caller, Effects& effects)
        {
            JobListAnswer answer;
            for (auto job = owner.m_state.m_jobs.rbegin(); job != owner.m_state.m_jobs.rend() && answer.m_jobs.size() < call.m_limit; ++job) {
                if (matchesSelector(job->second, call.m_selector))
                    answer.m_jobs.push_back(viewJob(owner, job->second, false));
            }
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = std::move(answer) });
        }

        void onCancelSelected(ShardOwner& owner, const CancelSelectedCall& call, CallerToken caller, TimePoint now, Effects& effects)
        {
            if (call.m_selector.m_team.empty())
                return answerError(effects, caller, { ErrorKind::InvalidInput, "the selector does not contain a team", "specify the team whose jobs are to be cancelled" }, RunOutcome::NotRun);
            if (isLogSlow(owner, now))
                return answerError(effects, caller, { ErrorKind::Unavailable, "the log does not answer, so no cancellation can be recorded", "retry the cancellation" }, RunOutcome::NotRun, retryDelay);
            CancelSelectedAnswer answer;
            for (const auto& [number, job] : owner.m_state.m_jobs) {
                if (job.m_isCancelRequested || isFinal(stateOf(job)) || !matchesSelector(job, call.m_selector))
                    continue;
                queueCancel(owner, number, now);
                ++answer.m_count;
            }
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = answer });
        }

        std::string_view linkName(LinkState link)
        {
            switch (link) {
            case LinkState::Down:
                return "down";
            case LinkState::Adopting:
                return "adopting";
            case LinkState::Adopted:
                return "adopted";
            }
            return "?";
        }

        std::string healthOf(const ShardOwner& owner, const VmInfo& vm, bool hasReportedLeaving, bool isHealthyNow)
        {
            if (vm.m_state != VmState::Live)
                return std::string(nameOf(vm.m_state));
            if (hasReportedLeaving)
                return "leaving";
            if (owner.m_policy->m_drained.contains(vm.m_name))
                return "drained";
            return isHealthyNow ? "live" : "held-out";
        }

        void onEndpoints(const ShardOwner& owner, CallerToken caller, TimePoint now, Effects& effects)
        {
            EndpointsAnswer answer;
            for (const Worker& worker : owner.m_workers) {
                EndpointView view { .m_name = worker.m_name, .m_kind = "worker", .m_shard = owner.m_state.m_shard, .m_zone = worker.m_vm.m_zone, .m_rack = worker.m_vm.m_rack };
                view.m_link = linkName(worker.m_link);
                view.m_health = healthOf(owner, worker.m_vm, worker.m_hasReportedLeaving, now >= worker.m_quarantinedUntil);
                view.m_capacity = worker.m_capacity;
                view.m_granted = worker.m_granted;
                view.m_inFlight = static_cast<std::uint32_t>(worker.m_tasks.size());
                answer.m_endpoints.push_back(std::move(view));
            }
            for (const Runner& runner : owner.m_runners) {
                EndpointView view { .m_name = runner.m_name, .m_kind = "runner", .m_shard = owner.m_state.m_shard, .m_zone = runner.m_vm.m_zone, .m_rack = runner.m_vm.m_rack };
                view.m_link = linkName(runner.m_link);
                view.m_health = healthOf(owner, runner.m_vm, runner.m_hasReportedLeaving, isHealthy(runner, now));
                view.m_slots = runner.m_slots;
                view.m_inFlight = runner.m_reservedSlots + static_cast<std::uint32_t>(runner.m_foreignDispatches.size());
                view.m_serviceMs = static_cast<std::int64_t>(runner.m_serviceMs);
                answer.m_endpoints.push_back(std::move(view));
            }
            effects.m_answers.push_back({ .m_caller = caller, .m_answer = std::move(answer) });
        }

        std::string explainState(const ShardOwner& owner, const Job& job)
        {
            if (job.m_isAbandoned)
                return "failed on " + std::to_string(failedWorkerLimit) + " different workers before any task succeeded";
            if (job.m_isCancelRequested)
                return "cancelled";
            if (countTasks(job, TaskState::Waiting) == 0)
                return {};
            if (owner.m_append && isLogSlow(owner, owner.m_append->m_firstSentAt + owner.m_options.m_unjournaledStartAfter))
                return "the log does not answer";
            const auto team = owner.m_policy->m_teams.find(job.m_spec.m_team);
            const auto usage = owner.m_teams.find(job.m_spec.m_team);
            if (team != owner.m_policy->m_teams.end() && usage != owner.m_teams.end()) {
                const auto quota = team->second.m_quota.find(owner.m_pool);
                if (quota != team->second.m_quota.end() && !fitsInto((usage->second.m_granted + job.m_spec.m_declared) * owner.m_poolShards, quota->second))
                    return "the quota of team " + job.m_spec.m_team + " is exhausted";
            }
            return "waits for a worker with " + describeSize(job.m_spec.m_declared) + " free per task";
        }

        void addTaskViews(const ShardOwner& owner, const Job& job, bool wantsFinal, JobView& view)
        {
            for (std::uint32_t index = 0; index < job.m_tasks.size() && view.m_tasks.size() < maxTaskViews; ++index) {
                const TaskRecord& task = job.m_tasks[index];
                if (isFinal(task.m_state) != wantsFinal)
                    continue;
                TaskView taskView { .m_task = index, .m_state = task.m_state, .m_attempt = task.m_attempt, .m_failures = task.m_failures };
                if (task.m_worker != noWorker)
                    taskView.m_worker = owner.m_state.m_workerNames[task.m_worker].substr(0, owner.m_state.m_workerNames[task.m_worker].rfind('/'));
                const auto run = owner.m_runs.find({ .m_job = job.m_number, .m_task = index, .m_attempt = task.m_attempt });
                taskView.m_isRunning = run != owner.m_runs.end() && run->second.m_phase == RunPhase::Running;
                view.m_tasks.push_back(std::move(taskView));
            }
        }

        std::uint32_t countRunning(const ShardOwner& owner, const Job& job)
        {
            std::uint32_t count = 0;
            for (std::uint32_t index = 0; index < job.m_tasks.size(); ++index) {
                const auto run = owner.m_runs.find({ .m_job = job.m_number, .m_task = index, .m_attempt = job.m_tasks[index].m_attempt });
                if (run != owner.m_runs.end() && (run->second.m_phase == RunPhase::Running || run->second.m_phase == RunPhase::Ended))
                    ++count;
            }
            return count;
        }

    } // namespace

    std::int64_t countFittingTasks(const ShardOwner& owner, const Resources& size)
    {
        std::int64_t fittingTasks = 0;
        for (const Worker& worker : owner.m_workers) {
            if (!worker.m_isListed || worker.m_vm.m_state == VmState::Gone)
                continue;
            const Resources capacity = worker.m_boot != 0 ? worker.m_capacity : worker.m_vm.m_capacity;
            if (!fitsInto(size, capacity))
                continue;
            std::int64_t fits = std::min(capacity.m_cpuMilli / size.m_cpuMilli, capacity.m_memoryMb / size.m_memoryMb);
            if (size.m_gpus > 0)
                fits = std::min(fits, capacity.m_gpus / size.m_gpus);
            fittingTasks += fits;
        }
        return fittingTasks;
    }

    void answerError(Effects& effects, CallerToken caller, const Error& error, RunOutcome outcome, Duration retryAfter)
    {
        effects.m_answers.push_back({ .m_caller = caller, .m_answer = ErrorAnswer { .m_error = error, .m_outcome = outcome, .m_retryAfter = retryAfter } });
    }

    JobView viewJob(const ShardOwner& owner, const Job& job, bool withTasks)
    {
        JobView view;
        view.m_id = { .m_shard = owner.m_state.m_shard, .m_number = job.m_number };
        view.m_spec = job.m_spec;
        view.m_state = stateOf(job);
        view.m_counts = job.m_counts;
        view.m_isCancelRequested = job.m_isCancelRequested;
        view.m_acceptedWall = job.m_acceptedWall;
        view.m_endedWall = job.m_endedWall;
        view.m_runningCount = countRunning(owner, job);
        view.m_reason = explainState(owner, job);
        if (withTasks) {
            addTaskViews(owner, job, false, view);
            addTaskViews(owner, job, true, view);
        }
        return view;
    }

    void answerWaiters(ShardOwner& owner, JobNumber number, TimePoint now, Effects& effects)
    {
        const Job* const job = findJob(owner.m_state, number);
        std::erase_if(owner.m_jobWaiters, [&](const JobWaiter& waiter) {
            const bool isOver = waiter.m_job == number && job && (now >= waiter.m_deadline || isWaitSatisfied(owner, *job, waiter.m_until));
            if (isOver)
                effects.m_answers.push_back({ .m_caller = waiter.m_caller, .m_answer = viewJob(owner, *job, true) });
            return isOver;
        });
    }

    void stepWaiters(ShardOwner& owner, TimePoint now, Effects& effects)
    {
        std::erase_if(owner.m_jobWaiters, [&](const JobWaiter& waiter) {
            const Job* const job = findJob(owner.m_state, waiter.m_job);
            if (!job) {
                answerError(effects, waiter.m_caller, unknownJobError({ owner.m_state.m_shard, waiter.m_job }), RunOutcome::Unknown);
                return true;
            }
            const bool isCancelUnrecorded = waiter.m_until == WaitUntil::Now && !job->m_isCancelRequested;
            if (now < waiter.m_deadline && (isCancelUnrecorded || !isWaitSatisfied(owner, *job, waiter.m_until)))
                return false;
            if (isCancelUnrecorded)
                answerError(effects, waiter.m_caller, { ErrorKind::TimedOut, "the log has not confirmed the cancellation yet", "query the status of the job; the cancellation may still take effect" }, RunOutcome::Unknown);
            else
                effects.m_answers.push_back({ .m_caller = waiter.m_caller, .m_answer = viewJob(owner, *job, true) });
            return true;
        });
        for (auto& [key, accept] : owner.m_pendingAccepts) {
            if (now < accept.m_deadline)
                continue;
            for (const CallerToken caller : accept.m_callers)
                answerError(effects, caller, { ErrorKind::TimedOut, "the log has not confirmed the job yet", "retry with the same key to learn the outcome" }, RunOutcome::Unknown, retryDelay);
            accept.m_callers.clear();
        }
    }

} // namespace detail

void onCall(ShardOwner& owner, const CallerCall& call, CallerToken caller, TimePoint now, Effects& effects)
{
    if (owner.m_isTermOver || owner.m_isReleasing) {
        effects.m_answers.push_back({ .m_caller = caller, .m_answer = MovedAnswer {} });
        return;
    }
    if (const auto* run = std::get_if<RunCall>(&call))
        detail::onRunCall(owner, *run, caller, now, effects);
    else if (const auto* submit = std::get_if<SubmitCall>(&call))
        detail::onSubmit(owner, *submit, caller, now, effects);
    else if (const auto* status = std::get_if<StatusCall>(&call))
        detail::onStatus(owner, *status, caller, now, effects);
    else if (const auto* cancel = std::get_if<CancelCall>(&call))
        detail::onCancel(owner, *cancel, caller, now, effects);
    else if (const auto* list = std::get_if<ListCall>(&call))
        detail::onList(owner, *list, caller, effects);
    else if (const auto* cancelSelected = std::get_if<CancelSelectedCall>(&call))
        detail::onCancelSelected(owner, *cancelSelected, caller, now, effects);
    else
        detail::onEndpoints(owner, caller, now, effects);
}

} // namespace bulrushloft
