/** @file cell_clients.cpp Handling of calls from clients and messages from peers. */
#include "core/log_func.h"
#include "process/cell/admission.h"
#include "process/cell/cell_detail.h"
#include "process/cell/cell_func.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"
#include "request/plan_func.h"
#include "table/scheduler_table.h"
#include "version/cluster_func.h"
#include "version/customer_cap.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    using namespace detail;

    constexpr Duration replyMargin { 150 }; ///< Time reserved for the reply to reach its client.
    constexpr Duration minWriteTime { 30 }; ///< With less time left a submission is not written, so that it can be refused with certainty.
    constexpr Duration queryTimeout { 700 };
    constexpr Duration queryRetryDelay { 100 };

    /** @return The path after the queue's prefix, which is the job id; empty when the path is the prefix itself. */
    std::string jobIdFromPath(const QueueSettings& queue, const std::string& path)
    {
        return path.substr(queue.m_pathPrefix.size());
    }

    PeerQueryAnswer countPendingJobs(const CellNode& node, const std::string& queue)
    {
        if (!isActiveLeader(node) || node.m_scheduler->m_areSubmissionsUnread)
            return { .m_status = QueryStatus::NotLeading };
        return { .m_status = QueryStatus::Known, .m_stage = 0, .m_count = scheduler::countPending(*node.m_scheduler, queue) };
    }

    bool isEnded(const PeerQueryAnswer& answer)
    {
        return isFinal(static_cast<scheduler::JobStage>(answer.m_stage));
    }

    /** Answers a query or count from this daemon's own state; a query of an unfinished job is held for a short time. */
    void answerLocally(CellNode& node, const PeerMessage& message, const std::function<void(const PeerQueryAnswer&)>& onAnswer)
    {
        const auto* const query = std::get_if<PeerJobQuery>(&message);
        if (!query)
            return onAnswer(countPendingJobs(node, std::get<PeerPendingJobsQuery>(message).m_queue));
        const PeerQueryAnswer answer = lookUpJob(node, query->m_job);
        if (answer.m_status != QueryStatus::Known || isEnded(answer))
            return onAnswer(answer);
        node.m_heldQueries.push_back({ .m_job = query->m_job, .m_until = node.m_now + node.m_options.m_queryHoldTime, .m_onAnswer = onAnswer });
    }

    /** Queries the leader with retries until the deadline. @param onAnswer Called once; NotLeading when no leader has answered. */
    void queryLeader(CellNode& node, const PeerMessage& message, TimePoint deadline, const std::function<void(const PeerQueryAnswer&)>& onAnswer)
    {
        if (isActiveLeader(node))
            return answerLocally(node, message, onAnswer);
        const Duration remaining = deadline - node.m_now - replyMargin;
        if (remaining.m_ms <= 0)
            return onAnswer({ .m_status = QueryStatus::NotLeading });
        const auto retry = [&node, message, deadline, onAnswer] {
            node.m_deferredCalls.push_back({ node.m_now + queryRetryDelay, [&node, message, deadline, onAnswer] { queryLeader(node, message, deadline, onAnswer); } });
        };
        const bool hasRemoteLeader = node.m_leader.m_token > 0 && node.m_leader.m_member.m_name != node.m_options.m_self.m_name;
        if (!hasRemoteLeader)
            return retry();
        node.m_ports.m_callPeer(node.m_leader.m_member.m_address, message, std::min(remaining, queryTimeout), [onAnswer, retry](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerQueryAnswer>(&*reply) : nullptr;
            if (answer && answer->m_status != QueryStatus::NotLeading)
                return onAnswer(*answer);
            retry();
        });
    }

    /** What is remembered of a client's call until its reply. */
    struct CallContext {
        std::string m_job; ///< Job id; empty for a count.
        TimePoint m_arrivedAt; ///< When the call arrived.
        TimePoint m_deadline; ///< When the client stops waiting.
        bool m_isUrgent = false; ///< Whether its queue has the first priority.
    };

    CallContext contextOf(const ClientCall& call, const QueueSettings& queue)
    {
        return { .m_job = jobIdFromPath(queue, call.m_path), .m_arrivedAt = call.m_arrivedAt, .m_deadline = call.m_deadline, .m_isUrgent = queue.m_priority == 0 };
    }

    /** Counts a refusal. @return The reply to a call that certainly had no effect. */
    ClientReply makeRefusal(CellNode& node, const CallContext& context)
    {
        ++node.m_counters.m_refusedCalls;
        Refusal refusal { .m_storeOutage = {}, .m_patience = context.m_deadline - node.m_now, .m_isUrgent = context.m_isUrgent };
        if (!node.m_isStoreReached)
            refusal.m_storeOutage = node.m_now - node.m_storeLastContactAt;
        return { .m_status = ClientStatus::NotDone, .m_retryAfter = scheduleReturn(node.m_retrySchedule, refusal, node.m_now) };
    }

    void replyToWrite(CellNode& node, StoreStatus status, ClientStatus successStatus, const CallContext& context, const ClientResponder& respond)
    {
        ClientReply reply { .m_status = successStatus };
        if (status == StoreStatus::Done)
            countServedCall(node.m_retrySchedule, node.m_now);
        if (status == StoreStatus::NotDone)
            reply = makeRefusal(node, context);
        else if (status != StoreStatus::Done)
            reply = { .m_status = ClientStatus::Unknown };
        node.m_counters.m_storedWrites += status == StoreStatus::Done ? 1 : 0;
        node.m_counters.m_unknownOutcomes += reply.m_status == ClientStatus::Unknown ? 1 : 0;
        logEvent(LogLevel::Info, "client-write", { { "job", context.m_job }, { "outcome", status == StoreStatus::Done ? "stored" : status == StoreStatus::NotDone ? "refused"
                                                                                                                                                                  : "unknown" },
                                                     { "is_cancel", successStatus == ClientStatus::Cancelled }, { "took_ms", (node.m_now - context.m_arrivedAt).m_ms }, { "config", node.m_cluster->m_version } });
        respond(reply);
    }

    /** @return Whether the leader of the given term answers heartbeats and is not about to leave. */
    bool isLeaderStable(const CellNode& node, std::uint64_t token)
    {
        return node.m_leader.m_token == token && !isLeaderUnreachable(node.m_leaderMonitor, node.m_heartbeatTiming, node.m_now) && !node.m_isSuccessorWanted;
    }

    using WriteCallback = SubmissionCallback;

    /** Reports a change sent to the leader as Unknown once the leader is suspected, which leaves time to store the change from here. */
    void watchLeader(CellNode& node, const std::shared_ptr<WriteCallback>& onComplete)
    {
        constexpr Duration watchInterval { 100 };
        node.m_deferredCalls.push_back({ node.m_now + watchInterval, [&node, onComplete, token = node.m_leader.m_token] {
                                            if (!*onComplete)
                                                return;
                                            if (isLeaderStable(node, token))
                                                return watchLeader(node, onComplete);
                                            std::exchange(*onComplete, {})({ .m_outcome = WriteOutcome::Unknown });
                                        } });
    }

    /**
     * Sends a change to the leader. While the leader answers heartbeats its reply is awaited, as its appends may be slow.
     * @param handleLocally Performs the change when this daemon leads.
     * @param onComplete Called once with the outcome; NotAccepted when no leader is known or the known one is suspected.
     */
    template <typename Message>
    void writeThroughLeader(CellNode& node, const Message& message, TimePoint deadline, void (*handleLocally)(CellNode&, const Message&, const WriteCallback&), const WriteCallback& onComplete)
    {
        if (node.m_role == Role::Leading)
            return handleLocally(node, message, onComplete);
        if (node.m_role != Role::Follower || node.m_leader.m_token == 0 || !isLeaderStable(node, node.m_leader.m_token))
            return onComplete({ .m_outcome = WriteOutcome::NotAccepted });
        const auto callback = std::make_shared<WriteCallback>(onComplete);
        node.m_ports.m_callPeer(node.m_leader.m_member.m_address, message, deadline - node.m_now, [callback](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerWriteAnswer>(&*reply) : nullptr;
            if (*callback)
                std::exchange(*callback, {})(answer ? *answer : PeerWriteAnswer { .m_outcome = WriteOutcome::Unknown });
        });
        watchLeader(node, callback);
    }

    /** Checks whether the cap of the job's customer ever lets its steps start. */
    Expected<void> checkCap(const CellNode& node, const JobPlan& plan)
    {
        const auto& customers = node.m_cluster->m_customers;
        const auto customer = std::find_if(customers.begin(), customers.end(), [&](const CustomerSettings& each) { return each.m_name == plan.m_customer; });
        const bool isCapped = !plan.m_customer.empty() && customer != customers.end();
        return isCapped ? canEverRun(*customer, node.m_options.m_scheduler.m_capOverrun, plan) : Expected<void> {};
    }

    /** Replies to a submission that the leader has refused. While this daemon writes an earlier copy of it itself, nothing about the job is certain. */
    void replyToRejection(CellNode& node, const PeerWriteAnswer& answer, const CallContext& context, const ClientResponder& respond)
    {
        if (isWritingDirectly(node, context.m_job)) {
            ++node.m_counters.m_unknownOutcomes;
            return respond({ .m_status = ClientStatus::Unknown });
        }
        ++node.m_counters.m_refusedCalls;
        respond({ .m_status = answer.m_outcome == WriteOutcome::OverLimit ? ClientStatus::OverLimit : ClientStatus::NotDone, .m_retryAfter = answer.m_retryAfter });
    }

    /** Decodes and checks a submission. @return Its plan, or an error that names the remedy. */
    Expected<JobPlan> readSubmission(const CellNode& node, const ClientCall& call, const QueueSettings& queue, const std::string& customer)
    {
        auto plan = node.m_decoders.m_plan(call.m_body);
        if (!plan)
            return plan;
        plan->m_id = jobIdFromPath(queue, call.m_path);
        plan->m_queue = queue.m_name;
        plan->m_policy = policyOf(queue, node.m_cluster->m_version);
        plan->m_customer = customer;
        plan->m_submittedAt = node.m_now + node.m_wallOffset;
        if (const auto valid = validatePlan(*plan); !valid)
            return tl::unexpected(valid.error());
        if (const auto allowed = checkCap(node, *plan); !allowed)
            return tl::unexpected(allowed.error());
        const std::size_t bytes = encodePlan(*plan).size();
        if (bytes > maxRecordBytes) // The store would refuse it, and the submissions that are appended with it.
            return fail(ErrorKind::TooLarge, "the job's steps take " + std::to_string(bytes) + " bytes", "split it into jobs of at most " + std::to_string(maxRecordBytes) + " bytes");
        return plan;
    }

    /** @param customer Name of the customer that submits the job; empty for none. */
    void submit(CellNode& node, const ClientCall& call, const QueueSettings& queue, const std::string& customer, const ClientResponder& respond)
    {
        const auto plan = readSubmission(node, call, queue, customer);
        if (!plan) {
            logEvent(LogLevel::Info, "submission-invalid", { { "path", call.m_path.substr(0, 100) }, { "error", describe(plan.error()) } });
            return respond({ .m_status = ClientStatus::Invalid, .m_text = describe(plan.error()) });
        }
        PendingWrite write { .m_records = { { .m_key = plan->m_id, .m_value = encodePlan(*plan) } }, .m_deadline = call.m_deadline - replyMargin };
        write.m_onComplete = [&node, context = contextOf(call, queue), respond](StoreStatus status) { replyToWrite(node, status, ClientStatus::Accepted, context, respond); };
        if (write.m_deadline - node.m_now < minWriteTime)
            return write.m_onComplete(StoreStatus::NotDone);
        const PeerSubmit message { .m_plan = write.m_records.front().m_value };
        writeThroughLeader(node, message, write.m_deadline, enqueueSubmission, [&node, write, context = contextOf(call, queue), respond](const PeerWriteAnswer& answer) mutable {
            const WriteOutcome outcome = answer.m_outcome;
            if (outcome == WriteOutcome::Recorded)
                return write.m_onComplete(StoreStatus::Done);
            if (outcome == WriteOutcome::Rejected || outcome == WriteOutcome::OverLimit)
                return replyToRejection(node, answer, context, respond);
            if (outcome == WriteOutcome::StoreUnavailable && !hasRecentAnswer(node.m_storeLastContactAt, node.m_now))
                return write.m_onComplete(StoreStatus::NotDone);
            write.m_mayBeStored = outcome == WriteOutcome::Unknown;
            writeToJobsTopic(node, std::move(write));
        });
    }

    void query(CellNode& node, const CallContext& context, const ClientResponder& respond)
    {
        queryLeader(node, PeerJobQuery { .m_job = context.m_job }, context.m_deadline, [&node, respond, context](const PeerQueryAnswer& answer) {
            if (answer.m_status == QueryStatus::Known)
                return respond({ .m_status = ClientStatus::Known, .m_stage = answer.m_stage });
            logEvent(LogLevel::Info, "client-query", { { "job", context.m_job }, { "outcome", answer.m_status == QueryStatus::NoSuchJob ? "no-such-job" : "leader-not-reached" }, { "leader", node.m_leader.m_member.m_name }, { "token", node.m_leader.m_token } });
            if (answer.m_status == QueryStatus::NoSuchJob)
                return respond({ .m_status = ClientStatus::NoSuchJob });
            respond(makeRefusal(node, context));
        });
    }

    void count(CellNode& node, const CallContext& context, const QueueSettings& queue, const ClientResponder& respond)
    {
        queryLeader(node, PeerPendingJobsQuery { .m_queue = queue.m_name }, context.m_deadline, [&node, respond, context](const PeerQueryAnswer& answer) {
            if (answer.m_status == QueryStatus::Known)
                return respond({ .m_status = ClientStatus::Counted, .m_count = answer.m_count });
            respond(makeRefusal(node, context));
        });
    }

    /** Has this daemon, which leads, record a cancellation. */
    void cancelAtLeader(CellNode& node, const PeerCancel& message, const WriteCallback& onComplete)
    {
        recordCancellation(node, message, [onComplete](WriteOutcome outcome) { onComplete({ .m_outcome = outcome }); });
    }

    /**
     * Tells the leader of a cancellation that this daemon has stored itself, as a leader may be slow or unable to read the topic of jobs.
     * Repeated until the leader has recorded it, or knows all jobs and not this one.
     */
    void announceCancellation(CellNode& node, const std::string& job, TimePoint until)
    {
        constexpr Duration interval { 250 };
        if (node.m_now >= until)
            return;
        node.m_deferredCalls.push_back({ node.m_now + interval, [&node, job, until] {
                                            constexpr Duration timeout { 700 };
                                            writeThroughLeader(node, PeerCancel { .m_job = job, .m_isStored = true }, node.m_now + timeout, cancelAtLeader, [&node, job, until](const PeerWriteAnswer& answer) {
                                                if (answer.m_outcome != WriteOutcome::Recorded && answer.m_outcome != WriteOutcome::NoSuchJob)
                                                    announceCancellation(node, job, until);
                                            });
                                        } });
    }

    /** Stores the copy of a stored cancellation. The caller is told of success only after both, so that a leader that reads either knows all acknowledged cancellations. */
    void storeCancellationCopy(CellNode& node, const std::string& job, TimePoint deadline, std::function<void(StoreStatus)> onComplete)
    {
        PendingWrite copy { .m_partition = cancellationPartition, .m_records = { { .m_key = cancellationKey(job), .m_value = "cancelled" } }, .m_deadline = deadline };
        copy.m_mayBeStored = true; // The cancellation itself is, so its outcome can't be a refusal any more.
        copy.m_onComplete = std::move(onComplete);
        writeToJobsTopic(node, std::move(copy));
    }

    /** Has the leader record a cancellation; without a leader it is stored in the topic of jobs. */
    void cancel(CellNode& node, const CallContext& context, const ClientResponder& respond)
    {
        PendingWrite write { .m_records = { { .m_key = cancellationKey(context.m_job), .m_value = "cancelled" } }, .m_deadline = context.m_deadline - replyMargin };
        write.m_onComplete = [&node, context, respond](StoreStatus status) { replyToWrite(node, status, ClientStatus::Cancelled, context, respond); };
        const Duration patience = (write.m_deadline - node.m_now) / 2; // The other half is for an own write.
        writeThroughLeader(node, PeerCancel { .m_job = context.m_job, .m_patience = patience }, write.m_deadline, cancelAtLeader, [&node, write, respond](const PeerWriteAnswer& answer) mutable {
            const WriteOutcome outcome = answer.m_outcome;
            if (outcome == WriteOutcome::Recorded)
                return write.m_onComplete(StoreStatus::Done);
            if (outcome == WriteOutcome::NoSuchJob)
                return respond({ .m_status = ClientStatus::NoSuchJob });
            write.m_mayBeStored = outcome == WriteOutcome::Unknown;
            write.m_onComplete = [&node, job = write.m_records.front().m_key.substr(1), deadline = write.m_deadline, onComplete = std::move(write.m_onComplete)](StoreStatus status) {
                constexpr Duration announcementPeriod { 10'000 }; // A leader is known again by then, and leads.
                if (status != StoreStatus::Done)
                    return onComplete(status);
                announceCancellation(node, job, node.m_now + announcementPeriod);
                storeCancellationCopy(node, job, deadline, onComplete);
            };
            writeToJobsTopic(node, std::move(write));
        });
    }

    void relayAppend(CellNode& node, const PeerAppend& message, const std::function<void(PeerReply)>& respond)
    {
        const StorePartition& partition = message.m_append.m_partition;
        if (!isOpenToRelaying(node, partition) || !node.m_isStoreReached)
            return respond(PeerAppendAnswer { .m_answer = { .m_status = StoreStatus::NotDone, .m_reason = "not relayed: this VM can't reach the store, or the partition is not open to relaying" }, .m_latency = {} });
        writeForPeer(node, message, [&node, respond, number = partition.m_partition](const StoreAppendAnswer& answer) { respond(PeerAppendAnswer { .m_answer = answer, .m_latency = jobsAppendLatency(node, number) }); });
    }

    void onTakeOverRequest(CellNode& node, const PeerTakeOver& message, const std::function<void(PeerReply)>& respond)
    {
        const bool isAccepted = message.m_token == node.m_leader.m_token && node.m_role == Role::Follower && !node.m_isTerminating && node.m_leaderTail.m_isListingComplete && node.m_cluster;
        respond(PeerAck { .m_isAccepted = isAccepted });
        if (isAccepted)
            claimLeadership(node, "the leader asked this VM to take over");
    }

} // namespace

namespace detail {

    void answerHeldQueries(CellNode& node)
    {
        std::vector<std::pair<HeldQuery, PeerQueryAnswer>> due;
        std::erase_if(node.m_heldQueries, [&](HeldQuery& heldQuery) {
            const PeerQueryAnswer answer = lookUpJob(node, heldQuery.m_job);
            if (answer.m_status == QueryStatus::Known && !isEnded(answer) && node.m_now < heldQuery.m_until)
                return false;
            due.emplace_back(std::move(heldQuery), answer);
            return true;
        });
        for (const auto& [heldQuery, answer] : due)
            heldQuery.m_onAnswer(answer);
    }

} // namespace detail

void onClientCall(CellNode& node, const ClientCall& call, const ClientResponder& respond)
{
    if (!node.m_cluster) {
        countRefusedCall(node, call, "no-configuration", {});
        return respond(makeRefusal(node, { .m_job = {}, .m_arrivedAt = call.m_arrivedAt, .m_deadline = call.m_deadline }));
    }
    const QueueSettings* const queue = findQueue(*node.m_cluster, call.m_host, call.m_path);
    if (!queue) {
        countRefusedCall(node, call, "no-such-queue", {});
        return respond({ .m_status = ClientStatus::NoSuchQueue });
    }
    const KeyCheck key = checkKey(node, call, *queue);
    const CallContext context = contextOf(call, *queue);
    if (key.m_verdict == KeyCheck::Verdict::NotCurrent)
        return respond(makeRefusal(node, context));
    if (key.m_verdict == KeyCheck::Verdict::UnknownKey)
        return respond({ .m_status = ClientStatus::UnknownKey });
    if (call.m_verb == ClientVerb::Submit)
        return submit(node, call, *queue, key.m_customer, respond);
    if (call.m_verb == ClientVerb::Query)
        return context.m_job.empty() ? count(node, context, *queue, respond) : query(node, context, respond);
    if (call.m_verb == ClientVerb::Cancel && !context.m_job.empty())
        return cancel(node, context, respond);
    respond({ .m_status = ClientStatus::Invalid, .m_text = "method not supported here; use POST, GET or DELETE on a job's id, or GET on the queue" });
}

void onPeerMessage(CellNode& node, const PeerMessage& message, const std::function<void(PeerReply)>& respond)
{
    if (const auto* const heartbeat = std::get_if<PeerHeartbeat>(&message))
        return respond(answerHeartbeat(node, *heartbeat));
    if (std::holds_alternative<PeerJobQuery>(message) || std::holds_alternative<PeerPendingJobsQuery>(message))
        return answerLocally(node, message, [respond](const PeerQueryAnswer& answer) { respond(answer); });
    if (const auto* const request = std::get_if<PeerConfigRequest>(&message))
        return respond(answerConfigRequest(node, *request));
    if (const auto* const append = std::get_if<PeerAppend>(&message))
        return relayAppend(node, *append, respond);
    if (const auto* const takeOverRequest = std::get_if<PeerTakeOver>(&message))
        return onTakeOverRequest(node, *takeOverRequest, respond);
    if (const auto* const orders = std::get_if<PeerOrders>(&message))
        return respond(forwardOrders(node, *orders));
    if (const auto* const reports = std::get_if<PeerReports>(&message))
        return respond(applyReports(node, *reports));
    const auto respondWrite = [respond](const PeerWriteAnswer& answer) { respond(answer); };
    if (const auto* const submission = std::get_if<PeerSubmit>(&message))
        return enqueueSubmission(node, *submission, respondWrite);
    if (const auto* const cancellation = std::get_if<PeerCancel>(&message))
        return cancelAtLeader(node, *cancellation, respondWrite);
    const auto& ask = std::get<PeerApprovalRequest>(message);
    constexpr Duration approvalTimeout { 2'400 };
    node.m_ports.m_requestApprovals(ask.m_step, ask.m_workers, approvalTimeout, [respond](const std::optional<std::vector<Approval>>& approvals) {
        respond(PeerApprovalAnswer { .m_isAnswered = approvals.has_value(), .m_approvals = approvals.value_or(std::vector<Approval> {}) });
    });
}

void abandonTerm(CellNode& node)
{
    if (node.m_role == Role::Leading || node.m_role == Role::Loading)
        stepDown(node, "unexpected error");
}

void beginTermination(CellNode& node)
{
    node.m_isTerminating = true;
    logEvent(LogLevel::Info, "terminating", { { "is_leading", node.m_role == Role::Leading }, { "token", node.m_leader.m_token } });
}

bool isReady(const CellNode& node)
{
    return node.m_cluster && !node.m_isTerminating;
}

std::unique_ptr<CellNode> makeCell(CellOptions options, CellPorts ports, CellDecoders decoders, TimePoint now, Duration wallOffset)
{
    auto node = std::make_unique<CellNode>();
    node->m_options = std::move(options);
    node->m_ports = std::move(ports);
    node->m_decoders = std::move(decoders);
    node->m_now = now;
    node->m_wallOffset = wallOffset;
    node->m_storeLastContactAt = now;
    const CellTopics& topics = node->m_options.m_topics;
    const auto makeTail = [](const std::string& topic, Duration wait, Duration pollDelay) { return TopicTail { .m_partition = { .m_topic = topic }, .m_wait = wait, .m_pollDelay = pollDelay }; };
    node->m_operatorTail = makeTail(topics.m_operator, node->m_options.m_longPollWait, {});
    node->m_leaderTail = makeTail(topics.m_leader, node->m_options.m_longPollWait, {});
    node->m_jobsTail = makeTail(topics.m_jobs, node->m_options.m_longPollWait, {});
    node->m_cancellationsTail = makeTail(topics.m_jobs, node->m_options.m_longPollWait, {});
    node->m_cancellationsTail.m_partition.m_partition = cancellationPartition;
    node->m_workersTail = makeTail(topics.m_workers, {}, node->m_options.m_workerPollInterval);
    resetTail(node->m_operatorTail, true);
    resetTail(node->m_leaderTail, true);
    return node;
}

} // namespace bulrushloft::cell
