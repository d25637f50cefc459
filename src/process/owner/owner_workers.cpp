/** @file owner_workers.cpp The shard owner's links to its workers: adoption, commands, leases and reported tasks. */
#include "process/journal/shard_state_func.h"
#include "process/owner/owner_detail.h"

#include "core/invariant.h"
#include "core/log_func.h"
#include "request/job_func.h"

#include <algorithm>

namespace bulrushloft {

namespace detail {

    namespace {

        constexpr Duration minAdoptionRetryDelay { 200 };
        constexpr Duration maxAdoptionRetryDelay { 5'000 };
        constexpr Duration workerScanInterval { 50 };
        constexpr Duration probationDuration { 10'000 };

        FencingToken tokenOf(const ShardOwner& owner, const Worker& worker)
        {
            return { .m_epoch = owner.m_state.m_epoch, .m_generation = worker.m_generation };
        }

        EndpointLink linkOf(const ShardOwner& owner, const Worker& worker)
        {
            return { .m_shard = owner.m_state.m_shard, .m_name = worker.m_name, .m_address = worker.m_vm.m_address, .m_token = tokenOf(owner, worker) };
        }

        void addDueWorker(ShardOwner& owner, std::size_t index)
        {
            owner.m_dueWorkers.push_back(index);
        }

        void sendAdoption(ShardOwner& owner, Worker& worker, Effects& effects)
        {
            worker.m_link = LinkState::Adopting;
            ++worker.m_generation;
            worker.m_isPollInFlight = false;
            worker.m_isCommandInFlight = false;
            effects.m_workerAdoptions.push_back({ .m_link = linkOf(owner, worker), .m_call = { .m_token = tokenOf(owner, worker) } });
        }

        void dropLink(Worker& worker, TimePoint now)
        {
            const Duration delay = std::min(minAdoptionRetryDelay * (1LL << std::min<std::uint32_t>(worker.m_failedAdoptions, 6)), maxAdoptionRetryDelay);
            worker.m_link = LinkState::Down;
            worker.m_retryAt = now + delay;
            ++worker.m_failedAdoptions;
        }

        /** Records a reading of the worker's clock, relative to which leases are granted. */
        void updateClock(Worker& worker, TimePoint clock, TimePoint sentAt, TimePoint now)
        {
            worker.m_reportedClock = clock;
            worker.m_earliestClockReadAt = sentAt;
            worker.m_latestClockReadAt = now;
        }

        /**
         * Grants a new lease. The worker read its clock at an unknown time between m_earliestClockReadAt and
         * m_latestClockReadAt. The lease is computed from the earliest of these times; if the clock was read at the
         * latest, the lease ends later by the length of that interval, which m_leaseEndBound therefore includes.
         * @return End of the lease on the worker's clock.
         */
        TimePoint extendLease(const ShardOwner& owner, Worker& worker, TimePoint now)
        {
            const Duration lease = owner.m_policy->m_limits.m_lease;
            const Duration uncertainty = worker.m_latestClockReadAt - worker.m_earliestClockReadAt;
            worker.m_leaseEndBound = std::max(worker.m_leaseEndBound, now + lease + uncertainty);
            return worker.m_reportedClock + (now - worker.m_earliestClockReadAt) + lease;
        }

        SyncWorkerCall makeSync(const ShardOwner& owner, Worker& worker, TimePoint now)
        {
            SyncWorkerCall call;
            call.m_token = tokenOf(owner, worker);
            call.m_boot = worker.m_boot;
            call.m_leaseUntil = extendLease(owner, worker, now);
            call.m_acks = std::move(worker.m_acks);
            worker.m_acks.clear();
            return call;
        }

        void sendPoll(ShardOwner& owner, Worker& worker, TimePoint now, Effects& effects)
        {
            SyncWorkerEffect effect { .m_link = linkOf(owner, worker), .m_call = makeSync(owner, worker, now), .m_isPoll = true, .m_sentAt = now };
            effect.m_call.m_waitFor = owner.m_policy->m_limits.m_longPollTimeout;
            worker.m_isPollInFlight = true;
            effects.m_workerSyncs.push_back(std::move(effect));
        }

        void addStarts(ShardOwner& owner, Worker& worker, SyncWorkerCall& call, TimePoint now)
        {
            for (const TaskRef& ref : worker.m_starts) {
                const auto found = owner.m_runs.find(ref);
                if (found == owner.m_runs.end() || found->second.m_phase != RunPhase::Ready)
                    continue;
                TaskRun& run = found->second;
                if (isLeaving(owner, worker)) {
                    endRun(owner, run, TaskResult::NeverStarted, {}, now);
                    continue;
                }
                const Job* const job = findJob(owner.m_state, ref.m_job);
                run.m_phase = RunPhase::Starting;
                logEvent(LogLevel::Debug, "task-start-sent", { { "shard", owner.m_state.m_shard }, { "task", format(ref) }, { "worker", worker.m_name }, { "epoch", owner.m_state.m_epoch.m_value }, { "generation", worker.m_generation } });
                call.m_starts.push_back({ .m_ref = ref, .m_grant = run.m_grant, .m_isHeld = run.m_isHeldStart, .m_payload = job ? job->m_spec.m_payload : std::string() });
            }
            worker.m_starts.clear();
        }

        void addStops(ShardOwner& owner, Worker& worker, SyncWorkerCall& call)
        {
            for (const TaskRef& ref : worker.m_stops) {
                const auto found = owner.m_runs.find(ref);
                const bool isOnWorker = found != owner.m_runs.end() && (found->second.m_phase == RunPhase::Running || found->second.m_phase == RunPhase::Held);
                if (!isOnWorker || found->second.m_isStopSent)
                    continue;
                found->second.m_isStopSent = true;
                call.m_stops.push_back({ .m_ref = ref, .m_wantsCheckpoint = found->second.m_wantsCheckpoint });
            }
            worker.m_stops.clear();
        }

        void addReleases(ShardOwner& owner, Worker& worker, SyncWorkerCall& call)
        {
            for (const TaskRef& ref : worker.m_releases) {
                const auto found = owner.m_runs.find(ref);
                if (found != owner.m_runs.end() && found->second.m_phase == RunPhase::Held && !found->second.m_isStopRequested)
                    call.m_releases.push_back(ref);
            }
            worker.m_releases.clear();
        }

        bool hasCommands(const Worker& worker)
        {
            return !worker.m_starts.empty() || !worker.m_stops.empty() || !worker.m_releases.empty();
        }

        void sendCommands(ShardOwner& owner, Worker& worker, TimePoint now, Effects& effects)
        {
            SyncWorkerEffect effect { .m_link = linkOf(owner, worker), .m_call = makeSync(owner, worker, now), .m_isPoll = false, .m_sentAt = now };
            addStarts(owner, worker, effect.m_call, now);
            addReleases(owner, worker, effect.m_call);
            addStops(owner, worker, effect.m_call);
            worker.m_isCommandInFlight = true;
            effects.m_workerSyncs.push_back(std::move(effect));
        }

        /** Ends the attempts on a worker that is gone or whose lease has expired; only attempts that were never sent to it are known not to have run. */
        void endLapsedAttempts(ShardOwner& owner, std::size_t index, TimePoint now)
        {
            const std::vector<TaskRef> refs(owner.m_workers[index].m_tasks.begin(), owner.m_workers[index].m_tasks.end());
            for (const TaskRef& ref : refs) {
                TaskRun& run = owner.m_runs.at(ref);
                if (run.m_phase == RunPhase::Journaling || run.m_phase == RunPhase::Ended)
                    continue;
                const TaskResult result = run.m_phase == RunPhase::Ready ? TaskResult::NeverStarted : TaskResult::Lapsed;
                endRun(owner, run, result, {}, now);
            }
        }

        /** Ends the probation of a worker that has run one task for long enough; tasks of services never complete, so completion can't be required. */
        void updateProbation(ShardOwner& owner, Worker& worker, TimePoint now)
        {
            if (!worker.m_isOnProbation)
                return;
            worker.m_isOnProbation = std::none_of(worker.m_tasks.begin(), worker.m_tasks.end(), [&owner, now](const TaskRef& ref) {
                const TaskRun& run = owner.m_runs.at(ref);
                return run.m_phase == RunPhase::Running && now - run.m_startedAt > probationDuration;
            });
        }

        void stepWorker(ShardOwner& owner, std::size_t index, TimePoint now, Effects& effects)
        {
            Worker& worker = owner.m_workers[index];
            const bool isGone = worker.m_isListed && worker.m_vm.m_state == VmState::Gone;
            if (isGone || (worker.m_link != LinkState::Adopted && now > worker.m_leaseEndBound + owner.m_options.m_leaseMargin)) {
                endLapsedAttempts(owner, index, now);
                worker.m_leaseEndBound = std::min(worker.m_leaseEndBound, now);
            }
            if (isGone || !worker.m_isListed || owner.m_isReleasing)
                return;
            updateProbation(owner, worker, now);
            if (worker.m_link == LinkState::Down && now >= worker.m_retryAt)
                sendAdoption(owner, worker, effects);
            if (worker.m_link != LinkState::Adopted)
                return;
            if (hasCommands(worker) && !worker.m_isCommandInFlight && now >= owner.m_pausedUntil)
                sendCommands(owner, worker, now, effects);
            if (!worker.m_isPollInFlight)
                sendPoll(owner, worker, now, effects);
        }

        void markRunning(ShardOwner& owner, TaskRun& run, bool isHeld, TimePoint now)
        {
            const Job* const job = findJob(owner.m_state, run.m_ref.m_job);
            const bool wasRunning = run.m_phase == RunPhase::Running;
            run.m_phase = isHeld ? RunPhase::Held : RunPhase::Running;
            run.m_isStopSent = false;
            if (!isHeld && !wasRunning && job)
                markStarted(owner, run, *job, now);
            if (run.m_isStopRequested)
                requestStop(owner, run, run.m_wantsCheckpoint);
        }

        /** Handles a running attempt that the journal does not know: adopts it if it is the next attempt of a waiting task, which a former owner may have started while the log did not answer; otherwise stops it. */
        void adoptUnknownAttempt(ShardOwner& owner, std::size_t index, const RunningTask& found, TimePoint now)
        {
            const Job* const job = findJob(owner.m_state, found.m_ref.m_job);
            const TaskRecord* const task = job && found.m_ref.m_task < job->m_tasks.size() ? &job->m_tasks[found.m_ref.m_task] : nullptr;
            const bool isUnplaced = task && task->m_state == TaskState::Waiting && !isTaskPlaced(owner, *job, found.m_ref.m_task);
            const bool isWanted = isUnplaced && found.m_ref.m_attempt == task->m_attempt + 1 && !job->m_isCancelRequested && job->m_spec.m_kind != JobKind::Gang;
            TaskRun run { .m_ref = found.m_ref, .m_worker = index, .m_grant = found.m_grant };
            run.m_phase = found.m_isHeld ? RunPhase::Held : RunPhase::Running;
            run.m_boot = owner.m_workers[index].m_boot;
            run.m_placedAt = now;
            run.m_startedAt = now;
            run.m_isOrphan = !isWanted;
            TaskRun& added = addRun(owner, run);
            if (isWanted) {
                dequeueTask(owner, found.m_ref);
                queueRecord(owner, PlaceRecord { { { .m_ref = found.m_ref, .m_worker = nameWithBoot(owner.m_workers[index]), .m_grant = found.m_grant } } });
                return;
            }
            ++owner.m_counters.m_orphans;
            logEvent(LogLevel::Warning, "orphan-task-stopped", { { "shard", owner.m_state.m_shard }, { "worker", owner.m_workers[index].m_name }, { "task", format(found.m_ref) } });
            requestStop(owner, added, false);
        }

        void onFinished(ShardOwner& owner, std::size_t index, const FinishedTask& finished, TimePoint now)
        {
            const auto found = owner.m_runs.find(finished.m_ref);
            const bool isOnThisWorker = found != owner.m_runs.end() && found->second.m_worker == index;
            if (!isOnThisWorker) {
                if (!adoptUnknownEnd(owner, index, finished, now))
                    owner.m_workers[index].m_acks.push_back(finished.m_ref);
                return;
            }
            if (found->second.m_phase != RunPhase::Ended)
                endRun(owner, found->second, finished.m_result, finished.m_usage, now);
        }

        /** Resolves an attempt that is missing from the report of the adopted worker. */
        void resolveMissing(ShardOwner& owner, TaskRun& run, std::uint64_t boot, TimePoint now)
        {
            const bool isSameBoot = run.m_boot == boot && boot != 0;
            switch (run.m_phase) {
            case RunPhase::Starting:
            case RunPhase::Unresolved:
            case RunPhase::Held:
                return endRun(owner, run, isSameBoot ? TaskResult::NeverStarted : TaskResult::Lapsed, {}, now);
            case RunPhase::Running:
                return endRun(owner, run, TaskResult::Lapsed, {}, now);
            case RunPhase::Ready:
                if (!isSameBoot)
                    endRun(owner, run, TaskResult::NeverStarted, {}, now);
                return;
            case RunPhase::Journaling:
            case RunPhase::Ended:
                return;
            }
        }

        void applyInventory(ShardOwner& owner, std::size_t index, const AdoptWorkerAnswer& answer, TimePoint now)
        {
            std::set<TaskRef> reported;
            for (const FinishedTask& finished : answer.m_finished) {
                reported.insert(finished.m_ref);
                onFinished(owner, index, finished, now);
            }
            for (const RunningTask& running : answer.m_running) {
                reported.insert(running.m_ref);
                const auto found = owner.m_runs.find(running.m_ref);
                if (found == owner.m_runs.end())
                    adoptUnknownAttempt(owner, index, running, now);
                else if (found->second.m_worker != index)
                    reportBrokenInvariant("no attempt runs on two workers", format(running.m_ref) + " on " + owner.m_workers[index].m_name);
                else if (found->second.m_phase != RunPhase::Ended)
                    markRunning(owner, found->second, running.m_isHeld, now);
            }
            const std::vector<TaskRef> refs(owner.m_workers[index].m_tasks.begin(), owner.m_workers[index].m_tasks.end());
            for (const TaskRef& ref : refs) {
                if (!reported.contains(ref))
                    resolveMissing(owner, owner.m_runs.at(ref), answer.m_boot, now);
            }
            for (const TaskRef& ref : refs)
                updateGangOf(owner, ref, now);
        }

        void applySyncAnswer(ShardOwner& owner, const SyncWorkerEffect& sent, const SyncWorkerAnswer& answer, TimePoint now)
        {
            for (const RefusedStart& refused : answer.m_refused) {
                const auto found = owner.m_runs.find(refused.m_ref);
                logEvent(LogLevel::Warning, "start-refused", { { "worker", sent.m_link.m_name }, { "task", format(refused.m_ref) }, { "reason", refused.m_reason } });
                if (found != owner.m_runs.end() && found->second.m_phase == RunPhase::Starting)
                    endRun(owner, found->second, TaskResult::NeverStarted, {}, now);
            }
            for (const StartTask& start : sent.m_call.m_starts) {
                const auto found = owner.m_runs.find(start.m_ref);
                if (found != owner.m_runs.end() && found->second.m_phase == RunPhase::Starting)
                    markRunning(owner, found->second, start.m_isHeld, now);
            }
            for (const TaskRef& ref : sent.m_call.m_releases) {
                const auto found = owner.m_runs.find(ref);
                if (found != owner.m_runs.end() && found->second.m_phase == RunPhase::Held)
                    markRunning(owner, found->second, false, now);
            }
        }

        void onLinkFailure(ShardOwner& owner, Worker& worker, const EndpointFailure& failure, TimePoint now)
        {
            logEvent(LogLevel::Debug, "worker-link-down", { { "shard", owner.m_state.m_shard }, { "worker", worker.m_name }, { "reason", failure.m_reason } });
            const bool isSuperseded = failure.m_staleToken && failure.m_staleToken->m_highest.m_epoch > owner.m_state.m_epoch;
            if (isSuperseded)
                owner.m_reader.m_isReadDue = true;
            dropLink(worker, now);
        }

    } // namespace

    std::string nameWithBoot(const Worker& worker)
    {
        return worker.m_name + "/" + std::to_string(worker.m_boot);
    }

    std::size_t findOrAddWorker(ShardOwner& owner, const std::string& name)
    {
        const auto [found, isNew] = owner.m_workerIndex.try_emplace(name, owner.m_workers.size());
        if (isNew) {
            owner.m_workers.emplace_back();
            owner.m_workers.back().m_name = name;
            if (!owner.m_formerOwnerStates.empty())
                owner.m_workers.back().m_leaseEndBound = farFuture;
        }
        return found->second;
    }

    void stepWorkers(ShardOwner& owner, TimePoint now, Effects& effects)
    {
        std::vector<std::size_t> due;
        due.swap(owner.m_dueWorkers);
        for (const std::size_t index : due)
            stepWorker(owner, index, now, effects);
        if (now < owner.m_nextWorkerScanAt)
            return;
        owner.m_nextWorkerScanAt = now + workerScanInterval;
        for (std::size_t index = 0; index < owner.m_workers.size(); ++index)
            stepWorker(owner, index, now, effects);
    }

    void requestSync(ShardOwner& owner, std::size_t index)
    {
        addDueWorker(owner, index);
    }

} // namespace detail

void onWorkerAdopted(ShardOwner& owner, const AdoptWorkerEffect& sent, const EndpointResult<AdoptWorkerAnswer>& result, TimePoint now, TimePoint sentAt)
{
    const auto found = owner.m_workerIndex.find(sent.m_link.m_name);
    if (owner.m_isTermOver || found == owner.m_workerIndex.end())
        return;
    Worker& worker = owner.m_workers[found->second];
    const bool isCurrent = worker.m_link == LinkState::Adopting && sent.m_link.m_token == detail::tokenOf(owner, worker);
    if (!isCurrent)
        return;
    if (!result)
        return detail::onLinkFailure(owner, worker, result.error(), now);
    worker.m_link = LinkState::Adopted;
    worker.m_failedAdoptions = 0;
    worker.m_boot = result->m_boot;
    worker.m_capacity = result->m_capacity;
    worker.m_hasReportedLeaving = result->m_isLeaving;
    detail::updateClock(worker, result->m_clock, sentAt, now);
    worker.m_leaseEndBound = std::max(worker.m_leaseEndBound == farFuture ? now : worker.m_leaseEndBound, now + adoptionLease);
    detail::applyInventory(owner, found->second, *result, now);
    owner.m_isScheduleDue = true;
    detail::requestSync(owner, found->second);
}

void onWorkerSynced(ShardOwner& owner, const SyncWorkerEffect& sent, const EndpointResult<SyncWorkerAnswer>& result, TimePoint now)
{
    const auto found = owner.m_workerIndex.find(sent.m_link.m_name);
    if (owner.m_isTermOver || found == owner.m_workerIndex.end())
        return;
    Worker& worker = owner.m_workers[found->second];
    const bool isCurrent = worker.m_link == LinkState::Adopted && sent.m_link.m_token == detail::tokenOf(owner, worker);
    if (!isCurrent)
        return;
    (sent.m_isPoll ? worker.m_isPollInFlight : worker.m_isCommandInFlight) = false;
    if (!result)
        return detail::onLinkFailure(owner, worker, result.error(), now);
    detail::updateClock(worker, result->m_clock, sent.m_sentAt + result->m_waited, now);
    worker.m_hasReportedLeaving = result->m_isLeaving;
    detail::applySyncAnswer(owner, sent, *result, now);
    for (const FinishedTask& finished : result->m_finished)
        detail::onFinished(owner, found->second, finished, now);
    for (const StartTask& start : sent.m_call.m_starts)
        detail::updateGangOf(owner, start.m_ref, now);
    owner.m_isScheduleDue = true;
    detail::requestSync(owner, found->second);
}

} // namespace bulrushloft
