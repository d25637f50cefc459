/** @file owner.cpp The owner of a shard: start, steps and end of a term. */
#include "process/owner/owner_detail.h"

#include "core/hash_func.h"
#include "core/invariant.h"
#include "core/log_func.h"
#include "process/journal/shard_state_func.h"
#include "process/owner/ownership_func.h"
#include "request/job_func.h"

#include <algorithm>

namespace bulrushloft {

namespace {

    constexpr Duration timerInterval { 50 };
    constexpr Duration idleScheduleInterval { 250 };
    constexpr Duration maxRequestRunTime { 60'000 };
    constexpr Duration expiryCheckInterval { 60'000 };
    constexpr Duration keepaliveInterval { 2'000 };

    /** Adds the attempts that are placed according to the journal; the workers report their real state when they are adopted. */
    void inheritTasks(ShardOwner& owner, TimePoint now)
    {
        for (const auto& [number, job] : owner.m_state.m_jobs) {
            for (std::uint32_t index = 0; index < job.m_tasks.size(); ++index) {
                const TaskRecord& task = job.m_tasks[index];
                if (task.m_state != TaskState::Placed)
                    continue;
                const std::string& nameWithBoot = owner.m_state.m_workerNames[task.m_worker];
                const std::size_t slash = nameWithBoot.rfind('/');
                TaskRun run { .m_ref = { .m_job = number, .m_task = index, .m_attempt = task.m_attempt } };
                run.m_worker = detail::findOrAddWorker(owner, nameWithBoot.substr(0, slash));
                run.m_grant = task.m_grant;
                run.m_phase = RunPhase::Unresolved;
                run.m_isHeldStart = job.m_spec.m_kind == JobKind::Gang;
                run.m_isStopRequested = job.m_isCancelRequested;
                run.m_boot = std::strtoull(nameWithBoot.c_str() + slash + 1, nullptr, 10);
                run.m_placedAt = now;
                detail::addRun(owner, run);
            }
        }
    }

    void inheritQueue(ShardOwner& owner, TimePoint now)
    {
        for (const auto& [number, job] : owner.m_state.m_jobs) {
            if (isFinal(stateOf(job)))
                continue;
            const bool isGang = job.m_spec.m_kind == JobKind::Gang;
            if (!isGang || countTasks(job, TaskState::Placed) == 0)
                detail::queueJob(owner, job, now);
        }
    }

    bool belongsToShard(const ShardOwner& owner, const VmInfo& vm)
    {
        return vm.m_pool == owner.m_pool && shardName(vm.m_pool, shardIndexForRack(vm.m_rack, owner.m_poolShards)) == owner.m_state.m_shard;
    }

    void queueRelease(ShardOwner& owner)
    {
        const bool hasNoPendingRecords = owner.m_outbox.empty() && !owner.m_append;
        if (owner.m_isReleasing && hasNoPendingRecords && !owner.m_state.m_isReleased)
            detail::queueRecord(owner, ReleaseRecord {});
    }

    /** Queues the record that former owners are fenced off, once every endpoint has accepted this term's token or is gone. */
    void queueFence(ShardOwner& owner)
    {
        if (owner.m_formerOwnerStates.empty() || owner.m_isFenceQueued || owner.m_isReleasing)
            return;
        const auto isAdoptedOrGone = [](const auto& endpoint) {
            return endpoint.m_boot != 0 || (endpoint.m_isListed && endpoint.m_vm.m_state == VmState::Gone);
        };
        const bool areAllAdoptedOrGone = std::all_of(owner.m_workers.begin(), owner.m_workers.end(), isAdoptedOrGone) && std::all_of(owner.m_runners.begin(), owner.m_runners.end(), isAdoptedOrGone);
        if (!areAllAdoptedOrGone)
            return;
        owner.m_isFenceQueued = true;
        detail::queueRecord(owner, FencedRecord {});
    }

    /** Queues a keepalive if one is due. While another daemon is silent, entries on the log show it that this owner is alive. */
    void queueKeepalive(ShardOwner& owner, TimePoint now)
    {
        const bool isDue = owner.m_hasSilentPeer && owner.m_hasMajority && now >= owner.m_nextKeepaliveAt && now - owner.m_lastConfirmedAt >= keepaliveInterval;
        if (!isDue || owner.m_append || !owner.m_outbox.empty() || owner.m_isReleasing)
            return;
        owner.m_nextKeepaliveAt = now + keepaliveInterval;
        detail::queueRecord(owner, KeepaliveRecord {});
    }

    void queueExpiry(ShardOwner& owner, TimePoint now)
    {
        if (now < owner.m_nextExpiryCheckAt)
            return;
        owner.m_nextExpiryCheckAt = now + expiryCheckInterval;
        const LimitPolicy& limits = owner.m_policy->m_limits;
        const TimePoint wall = toWall(now, owner.m_options.m_wallOffset);
        const ExpireRecord record { .m_jobsEndedBefore = wall - limits.m_jobRetention, .m_requestsEndedBefore = wall - limits.m_requestRetention };
        const bool hasOldJob = std::any_of(owner.m_state.m_jobs.begin(), owner.m_state.m_jobs.end(), [&record](const auto& job) {
            return job.second.m_endedWall.m_ms != 0 && job.second.m_endedWall < record.m_jobsEndedBefore;
        });
        const bool hasOldRequest = std::any_of(owner.m_state.m_requests.begin(), owner.m_state.m_requests.end(), [&record](const auto& request) {
            return request.second.m_state != RequestState::Intended && request.second.m_wall < record.m_requestsEndedBefore;
        });
        if (hasOldJob || hasOldRequest)
            detail::queueRecord(owner, record);
    }

} // namespace

ShardOwner makeOwner(const OwnerOptions& options, ShardState state, SharedPolicy policy, TimePoint now)
{
    ShardOwner owner;
    owner.m_options = options;
    owner.m_state = std::move(state);
    for (const FormerOwner& former : owner.m_state.m_formerOwners)
        owner.m_formerOwnerStates.push_back({ .m_former = former });
    owner.m_pool = poolOfShard(owner.m_state.m_shard);
    owner.m_random.seed(options.m_seed ^ owner.m_state.m_epoch.m_value);
    owner.m_lastSequence = owner.m_state.m_lastSequence;
    owner.m_ownedSince = now;
    owner.m_claimLogTime = owner.m_state.m_lastEntryLogTime;
    owner.m_lastConfirmedAt = now;
    owner.m_lastFullReadAt = now;
    owner.m_mayHaveUnjournaledTasks = !owner.m_formerOwnerStates.empty();
    setPolicy(owner, std::move(policy));
    inheritTasks(owner, now);
    inheritQueue(owner, now);
    detail::inheritIntents(owner);
    for (const FormerOwner& former : owner.m_state.m_formerOwners) {
        if (former.m_hasReleased)
            markFormerOwnerStopped(owner, former.m_instance, now);
    }
    owner.m_isScheduleDue = true;
    return owner;
}

void setPolicy(ShardOwner& owner, SharedPolicy policy)
{
    owner.m_policy = std::move(policy);
    const auto pool = owner.m_policy->m_pools.find(owner.m_pool);
    owner.m_poolShards = pool == owner.m_policy->m_pools.end() ? 1 : pool->second.m_shards;
    owner.m_isScheduleDue = true;
}

void setVmList(ShardOwner& owner, const VmList& list, TimePoint now)
{
    for (const VmInfo& vm : list.m_vms) {
        if (vm.m_role == VmRole::Entry || !belongsToShard(owner, vm))
            continue;
        if (vm.m_role == VmRole::Worker) {
            Worker& worker = owner.m_workers[detail::findOrAddWorker(owner, vm.m_name)];
            worker.m_vm = vm;
            worker.m_isListed = true;
        } else {
            Runner& runner = owner.m_runners[detail::findOrAddRunner(owner, vm.m_name)];
            runner.m_vm = vm;
            runner.m_isListed = true;
        }
    }
    for (const VmInfo& vm : list.m_vms) {
        for (const FormerOwnerState& formerState : std::vector<FormerOwnerState>(owner.m_formerOwnerStates)) {
            if (vm.m_role == VmRole::Entry && vm.m_state == VmState::Gone && vm.m_name == formerState.m_former.m_member)
                markFormerOwnerStopped(owner, formerState.m_former.m_instance, now);
        }
    }
    owner.m_isScheduleDue = true;
}

void markFormerOwnerStopped(ShardOwner& owner, InstanceId former, TimePoint now)
{
    const auto found = std::find_if(owner.m_formerOwnerStates.begin(), owner.m_formerOwnerStates.end(), [former](const FormerOwnerState& formerState) { return formerState.m_former.m_instance == former; });
    if (found == owner.m_formerOwnerStates.end() || found->m_isStopped)
        return;
    found->m_isStopped = true;
    logEvent(LogLevel::Info, "former-owner-stopped", { { "shard", owner.m_state.m_shard }, { "former_owner", found->m_former.m_member } });
    const TimePoint logNow = owner.m_claimLogTime + (now - owner.m_ownedSince);
    const bool hadNoUnjournaledWindow = found->m_former.m_hasReleased || logNow - found->m_former.m_lastEntryLogTime < owner.m_options.m_unjournaledStartAfter;
    owner.m_hasUnjournaledWindow = owner.m_hasUnjournaledWindow || !hadNoUnjournaledWindow;
    const bool areAllStopped = std::all_of(owner.m_formerOwnerStates.begin(), owner.m_formerOwnerStates.end(), [](const FormerOwnerState& formerState) { return formerState.m_isStopped; });
    if (!areAllStopped)
        return;
    owner.m_mayHaveUnjournaledTasks = owner.m_hasUnjournaledWindow;
    owner.m_inheritedRequestsEndBy = now + maxRequestRunTime;
    const TimePoint leaseEndBound = now + owner.m_policy->m_limits.m_lease + owner.m_options.m_callTimeout;
    for (Worker& worker : owner.m_workers)
        worker.m_leaseEndBound = std::min(worker.m_leaseEndBound, leaseEndBound);
}

void setPeerContact(ShardOwner& owner, bool hasSilentPeer, bool hasMajority)
{
    owner.m_hasSilentPeer = hasSilentPeer;
    owner.m_hasMajority = hasMajority;
}

void requireFreshRead(ShardOwner& owner)
{
    owner.m_mayBeSuperseded = true;
    owner.m_isFreshReadNeeded = true;
    owner.m_reader.m_isReadDue = true;
}

void step(ShardOwner& owner, TimePoint now, Effects& effects)
{
    if (owner.m_isTermOver)
        return;
    if (now >= owner.m_nextTimersAt) {
        owner.m_nextTimersAt = now + timerInterval;
        detail::stepRunners(owner, now, effects);
        detail::stepRequests(owner, now, effects);
        detail::stepWaiters(owner, now, effects);
        queueExpiry(owner, now);
        queueFence(owner);
        queueKeepalive(owner, now);
    }
    if (now >= owner.m_nextScheduleAt + idleScheduleInterval)
        owner.m_isScheduleDue = true;
    detail::schedule(owner, now);
    detail::dispatchRequests(owner, now, effects);
    detail::stepWorkers(owner, now, effects);
    queueRelease(owner);
    detail::flushJournal(owner, now, effects);
}

TimePoint nextDeadline(const ShardOwner& owner, TimePoint now)
{
    if (owner.m_isTermOver)
        return farFuture;
    TimePoint next = owner.m_nextTimersAt;
    if (!owner.m_outbox.empty() && !owner.m_append)
        next = std::min(next, owner.m_nextAppendAt);
    if (owner.m_isScheduleDue && !owner.m_queue.empty())
        next = std::min(next, owner.m_nextScheduleAt);
    return std::max(next, now);
}

void beginRelease(ShardOwner& owner, Effects& effects)
{
    if (owner.m_isReleasing)
        return;
    owner.m_isReleasing = true;
    detail::redirectCallers(owner, effects);
}

bool hasWaitingCallers(const ShardOwner& owner)
{
    return std::any_of(owner.m_requests.begin(), owner.m_requests.end(), [](const auto& request) { return !request.second.m_callers.empty(); });
}

Expected<void> checkOwner(const ShardOwner& owner)
{
    const auto mismatch = [&owner](const std::string& what) {
        return fail(ErrorKind::Internal, "owner of " + owner.m_state.m_shard + ": " + what, "report this error together with the journal of the shard");
    };
    std::vector<Resources> granted(owner.m_workers.size());
    std::map<std::string, Resources> byTeam;
    for (const auto& [ref, run] : owner.m_runs) {
        if (run.m_phase == RunPhase::Ended)
            continue;
        granted[run.m_worker] = granted[run.m_worker] + run.m_grant;
        const Job* const job = findJob(owner.m_state, ref.m_job);
        const std::string team = job ? job->m_spec.m_team : std::string();
        byTeam[team] = byTeam[team] + run.m_grant;
    }
    for (std::size_t index = 0; index < owner.m_workers.size(); ++index) {
        const Worker& worker = owner.m_workers[index];
        if (!(granted[index] == worker.m_granted))
            return mismatch("the resources granted on " + worker.m_name + " differ from the sum of its attempts");
        if (worker.m_link == LinkState::Adopted && !fitsInto(worker.m_granted, worker.m_capacity))
            return mismatch("the resources granted on " + worker.m_name + " exceed its capacity");
    }
    for (const auto& [team, usage] : owner.m_teams) {
        if (!(byTeam[team] == usage.m_granted))
            return mismatch("the resources granted to team " + team + " differ from the sum of its attempts");
    }
    std::vector<std::uint32_t> reserved(owner.m_runners.size());
    for (const auto& [id, dispatch] : owner.m_dispatches)
        reserved[dispatch.m_runner] += dispatch.m_holdsSlot ? 1 : 0;
    for (std::size_t index = 0; index < owner.m_runners.size(); ++index) {
        if (reserved[index] != owner.m_runners[index].m_reservedSlots)
            return mismatch("the reserved slots of " + owner.m_runners[index].m_name + " differ from its number of dispatches");
    }
    return {};
}

} // namespace bulrushloft
