/** @file cell_clients.cpp Calls of clients and peers. */
#include "core/log_func.h"
#include "process/cell/admission.h"
#include "process/cell/cell_detail.h"
#include "process/cell/cell_func.h"
#include "process/scheduler/scheduler_func.h"
#include "request/plan_codec.h"
#include "request/plan_func.h"
#include "table/scheduler_table.h"
#include "version/cluster_func.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    using namespace detail;

    constexpr Duration replyMargin { 150 }; ///< Time for a reply to reach its client.
    constexpr Duration shortestWrite { 30 }; ///< With less time left nothing is begun, so that the caller can be told so.
    constexpr Duration queryTimeout { 700 };
    constexpr Duration queryRetry { 100 };

    /** @return The last part of a path, or an empty text when the path is the queue's prefix itself. */
    std::string jobOf(const QueueSettings& queue, const std::string& path)
    {
        return path.substr(queue.m_pathPrefix.size());
    }

    PeerQueryAnswer answerQuery(const CellNode& node, const std::string& job)
    {
        if (!mayAct(node))
            return { .m_status = QueryStatus::NotLeading };
        if (const auto stage = scheduler::findStage(*node.m_scheduler, job))
            return { .m_status = QueryStatus::Known, .m_stage = static_cast<std::uint8_t>(*stage) };
        const bool isFresh = node.m_now - node.m_jobsTail.m_currentAt <= node.m_options.m_visibleWithin;
        return { .m_status = isFresh ? QueryStatus::NoSuchJob : QueryStatus::NotLeading };
    }

    PeerQueryAnswer answerCount(const CellNode& node, const std::string& queue)
    {
        if (!mayAct(node))
            return { .m_status = QueryStatus::NotLeading };
        return { .m_status = QueryStatus::Known, .m_stage = 0, .m_count = scheduler::countPending(*node.m_scheduler, queue) };
    }

    bool isEnded(const PeerQueryAnswer& answer)
    {
        return isFinal(static_cast<scheduler::JobStage>(answer.m_stage));
    }

    /** Answers from what this daemon knows; a query of a job that runs is answered a little later. */
    void answerLocally(CellNode& node, const PeerMessage& message, const std::function<void(const PeerQueryAnswer&)>& onAnswer)
    {
        const auto* const query = std::get_if<PeerJobQuery>(&message);
        if (!query)
            return onAnswer(answerCount(node, std::get<PeerPendingJobsQuery>(message).m_queue));
        const PeerQueryAnswer answer = answerQuery(node, query->m_job);
        if (answer.m_status != QueryStatus::Known || isEnded(answer))
            return onAnswer(answer);
        node.m_stageWaiters.push_back({ .m_job = query->m_job, .m_until = node.m_now + node.m_options.m_queryHold, .m_onAnswer = onAnswer });
    }

    /** Asks the leader, again and again until the deadline; the answer is NotLeading when none came. */
    void askLeader(CellNode& node, const PeerMessage& message, TimePoint deadline, const std::function<void(const PeerQueryAnswer&)>& onAnswer)
    {
        if (mayAct(node))
            return answerLocally(node, message, onAnswer);
        const Duration left = deadline - node.m_now - replyMargin;
        if (left.m_ms <= 0)
            return onAnswer({ .m_status = QueryStatus::NotLeading });
        const auto again = [&node, message, deadline, onAnswer] {
            node.m_laterCalls.push_back({ node.m_now + queryRetry, [&node, message, deadline, onAnswer] { askLeader(node, message, deadline, onAnswer); } });
        };
        const bool hasLeader = node.m_leader.m_token > 0 && node.m_leader.m_member.m_name != node.m_options.m_self.m_name;
        if (!hasLeader)
            return again();
        node.m_ports.m_callPeer(node.m_leader.m_member.m_address, message, std::min(left, queryTimeout), [onAnswer, again](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerQueryAnswer>(&*reply) : nullptr;
            if (answer && answer->m_status != QueryStatus::NotLeading)
                return onAnswer(*answer);
            again();
        });
    }

    /** @return The reply to a call that surely did nothing. */
    ClientReply refuse(CellNode& node)
    {
        ++node.m_counters.m_refusals;
        return { .m_status = ClientStatus::NotDone, .m_retryAfter = comeBackAfter };
    }

    void replyWrite(CellNode& node, StoreStatus status, ClientStatus whenDone, const std::string& job, TimePoint arrivedAt, const ClientResponder& respond)
    {
        ClientReply reply { .m_status = whenDone };
        if (status == StoreStatus::NotDone)
            reply = refuse(node);
        else if (status != StoreStatus::Done)
            reply = { .m_status = ClientStatus::Unknown };
        node.m_counters.m_submits += status == StoreStatus::Done ? 1 : 0;
        node.m_counters.m_unknowns += reply.m_status == ClientStatus::Unknown ? 1 : 0;
        logEvent(LogLevel::Info, "client-write", { { "job", job }, { "outcome", status == StoreStatus::Done ? "stored" : status == StoreStatus::NotDone ? "refused"
                                                                                                                                                        : "unknown" },
                                                     { "is_cancel", whenDone == ClientStatus::Cancelled }, { "took_ms", (node.m_now - arrivedAt).m_ms }, { "config", node.m_cluster->m_version } });
        respond(reply);
    }

    /** @return Whether the leader can record soon; else callers use the topic of jobs at once. */
    bool canRecord(const CellNode& node)
    {
        constexpr Duration longAppend { 500 };
        const auto since = oldestSince(node.m_writer);
        const bool isStuck = since && node.m_now - *since > longAppend && !node.m_isStoreReached;
        return mayAct(node) && !isStuck;
    }

    void takeCancel(CellNode& node, const PeerCancel& message, const std::function<void(WriteOutcome)>& onEnd)
    {
        if (!canRecord(node))
            return onEnd(WriteOutcome::NotAccepted);
        const PeerQueryAnswer known = answerQuery(node, message.m_job);
        if (known.m_status != QueryStatus::Known)
            return onEnd(known.m_status == QueryStatus::NoSuchJob ? WriteOutcome::NoSuchJob : WriteOutcome::NotAccepted);
        scheduler::cancelJob(*node.m_scheduler, message.m_job, node.m_now);
        node.m_recordWaiters.push_back({ .m_batch = node.m_scheduler->m_jobs.at(message.m_job)->m_stageBatch, .m_onEnd = onEnd });
        answerRecorded(node);
    }

    /** @return Whether the leader of the term is heard of and stays. */
    bool isLeaderSteady(const CellNode& node, std::uint64_t token)
    {
        return node.m_leader.m_token == token && node.m_now - node.m_leaderHeardAt <= node.m_pace.m_suspectAfter && !node.m_isSuccessorWanted;
    }

    using WriteEnd = std::function<void(WriteOutcome)>;

    /** Gives up a change that the leader has taken when its term is in doubt, so that there is time to store it here. */
    void watchLeader(CellNode& node, const std::shared_ptr<WriteEnd>& onEnd)
    {
        constexpr Duration watchInterval { 100 };
        node.m_laterCalls.push_back({ node.m_now + watchInterval, [&node, onEnd, token = node.m_leader.m_token] {
                                         if (!*onEnd)
                                             return;
                                         if (isLeaderSteady(node, token))
                                             return watchLeader(node, onEnd);
                                         std::exchange(*onEnd, {})(WriteOutcome::Unknown);
                                     } });
    }

    /** Hands a change to the leader; the outcome is NotAccepted when none is known. A leader that is heard of is waited for, as its records may be slow. */
    template <typename Message>
    void writeByLeader(CellNode& node, const Message& message, TimePoint deadline, void (*takeHere)(CellNode&, const Message&, const WriteEnd&), const WriteEnd& onEnd)
    {
        if (node.m_role == Role::Leading)
            return takeHere(node, message, onEnd);
        if (node.m_role != Role::Follower || node.m_leader.m_token == 0 || !isLeaderSteady(node, node.m_leader.m_token))
            return onEnd(WriteOutcome::NotAccepted);
        const auto end = std::make_shared<WriteEnd>(onEnd);
        node.m_ports.m_callPeer(node.m_leader.m_member.m_address, message, deadline - node.m_now, [end](const std::optional<PeerReply>& reply) {
            const auto* const answer = reply ? std::get_if<PeerWriteAnswer>(&*reply) : nullptr;
            if (*end)
                std::exchange(*end, {})(answer ? answer->m_outcome : WriteOutcome::Unknown);
        });
        watchLeader(node, end);
    }

    void submit(CellNode& node, const ClientCall& call, const QueueSettings& queue, const ClientResponder& respond)
    {
        auto plan = node.m_decoders.m_plan(call.m_body);
        Expected<void> valid;
        if (plan) {
            plan->m_id = jobOf(queue, call.m_path);
            plan->m_queue = queue.m_name;
            plan->m_pool = queue.m_pool;
            plan->m_submittedAt = node.m_now + node.m_wallOffset;
            valid = validatePlan(*plan);
        }
        if (!plan || !valid) {
            const Error& error = plan ? valid.error() : plan.error();
            logEvent(LogLevel::Info, "client-invalid", { { "path", call.m_path.substr(0, 100) }, { "error", describe(error) } });
            return respond({ .m_status = ClientStatus::Invalid, .m_text = describe(error) });
        }
        PendingWrite write { .m_records = { { .m_key = plan->m_id, .m_value = encodePlan(*plan) } }, .m_deadline = call.m_deadline - replyMargin };
        write.m_onEnd = [&node, id = plan->m_id, arrivedAt = call.m_arrivedAt, respond](StoreStatus status) { replyWrite(node, status, ClientStatus::Accepted, id, arrivedAt, respond); };
        if (write.m_deadline - node.m_now < shortestWrite)
            return write.m_onEnd(StoreStatus::NotDone);
        const PeerSubmit message { .m_plan = write.m_records.front().m_value };
        writeByLeader(node, message, write.m_deadline, takeSubmit, [&node, write](WriteOutcome outcome) mutable {
            if (outcome == WriteOutcome::Recorded)
                return write.m_onEnd(StoreStatus::Done);
            if (outcome == WriteOutcome::StoreUnavailable && !isHeardLately(node.m_storeHeardAt, node.m_now))
                return write.m_onEnd(StoreStatus::NotDone);
            write.m_mayBeDone = outcome == WriteOutcome::Unknown;
            writeJobs(node, std::move(write));
        });
    }

    void query(CellNode& node, const ClientCall& call, const std::string& job, const ClientResponder& respond)
    {
        askLeader(node, PeerJobQuery { .m_job = job }, call.m_deadline, [&node, respond, job](const PeerQueryAnswer& answer) {
            if (answer.m_status == QueryStatus::Known)
                return respond({ .m_status = ClientStatus::Known, .m_stage = answer.m_stage });
            logEvent(LogLevel::Info, "client-query", { { "job", job }, { "outcome", answer.m_status == QueryStatus::NoSuchJob ? "no-such-job" : "leader-not-reached" }, { "leader", node.m_leader.m_member.m_name }, { "token", node.m_leader.m_token } });
            if (answer.m_status == QueryStatus::NoSuchJob)
                return respond({ .m_status = ClientStatus::NoSuchJob });
            respond(refuse(node));
        });
    }

    void count(CellNode& node, const ClientCall& call, const QueueSettings& queue, const ClientResponder& respond)
    {
        askLeader(node, PeerPendingJobsQuery { .m_queue = queue.m_name }, call.m_deadline, [&node, respond](const PeerQueryAnswer& answer) {
            if (answer.m_status == QueryStatus::Known)
                return respond({ .m_status = ClientStatus::Counted, .m_count = answer.m_count });
            respond(refuse(node));
        });
    }

    /** A cancellation is recorded by the leader; without one it is stored beside the submissions. */
    void cancel(CellNode& node, const ClientCall& call, const std::string& job, const ClientResponder& respond)
    {
        PendingWrite write { .m_records = { { .m_key = "!" + job, .m_value = "cancelled" } }, .m_deadline = call.m_deadline - replyMargin };
        write.m_onEnd = [&node, job, arrivedAt = call.m_arrivedAt, respond](StoreStatus status) { replyWrite(node, status, ClientStatus::Cancelled, job, arrivedAt, respond); };
        writeByLeader(node, PeerCancel { .m_job = job }, write.m_deadline, takeCancel, [&node, write, respond](WriteOutcome outcome) mutable {
            if (outcome == WriteOutcome::Recorded)
                return write.m_onEnd(StoreStatus::Done);
            if (outcome == WriteOutcome::NoSuchJob)
                return respond({ .m_status = ClientStatus::NoSuchJob });
            write.m_mayBeDone = outcome == WriteOutcome::Unknown;
            writeJobs(node, std::move(write));
        });
    }

    void relayAppend(CellNode& node, const PeerAppend& message, const std::function<void(PeerReply)>& respond)
    {
        constexpr Duration relayTimeout { 500 };
        const bool isAllowed = message.m_append.m_partition.m_topic == node.m_options.m_topics.m_jobs;
        if (!isAllowed || !node.m_isStoreReached)
            return respond(PeerAppendAnswer { { .m_status = StoreStatus::NotDone, .m_reason = "this VM does not reach the store" } });
        node.m_ports.m_append(message.m_append, relayTimeout, [&node, respond](const StoreAppendAnswer& answer) {
            noteStore(node, answer.m_status == StoreStatus::Done);
            respond(PeerAppendAnswer { answer });
        });
    }

    void takeOver(CellNode& node, const PeerTakeOver& message, const std::function<void(PeerReply)>& respond)
    {
        const bool isWanted = message.m_token == node.m_leader.m_token && node.m_role == Role::Follower && !node.m_isTerminating && node.m_leaderTail.m_isCurrent;
        respond(PeerAck { .m_isAccepted = isWanted });
        if (isWanted)
            claimLeadership(node, "the leader hands over");
    }

} // namespace

namespace detail {

    void answerStages(CellNode& node)
    {
        std::vector<std::pair<StageWaiter, PeerQueryAnswer>> due;
        std::erase_if(node.m_stageWaiters, [&](StageWaiter& waiter) {
            const PeerQueryAnswer answer = answerQuery(node, waiter.m_job);
            if (answer.m_status == QueryStatus::Known && !isEnded(answer) && node.m_now < waiter.m_until)
                return false;
            due.emplace_back(std::move(waiter), answer);
            return true;
        });
        for (const auto& [waiter, answer] : due)
            waiter.m_onAnswer(answer);
    }

} // namespace detail

void onClientCall(CellNode& node, const ClientCall& call, const ClientResponder& respond)
{
    if (!node.m_cluster)
        return respond(refuse(node));
    const QueueSettings* const queue = findQueue(*node.m_cluster, call.m_host, call.m_path);
    if (!queue)
        return respond({ .m_status = ClientStatus::NoSuchQueue });
    const std::string job = jobOf(*queue, call.m_path);
    if (call.m_verb == ClientVerb::Submit)
        return submit(node, call, *queue, respond);
    if (call.m_verb == ClientVerb::Query)
        return job.empty() ? count(node, call, *queue, respond) : query(node, call, job, respond);
    if (call.m_verb == ClientVerb::Cancel && !job.empty())
        return cancel(node, call, job, respond);
    respond({ .m_status = ClientStatus::Invalid, .m_text = "this path takes POST, GET and DELETE of a job's id, and GET of the queue" });
}

void onPeerMessage(CellNode& node, const PeerMessage& message, const std::function<void(PeerReply)>& respond)
{
    if (const auto* const heartbeat = std::get_if<PeerHeartbeat>(&message))
        return respond(answerHeartbeat(node, *heartbeat));
    if (std::holds_alternative<PeerJobQuery>(message) || std::holds_alternative<PeerPendingJobsQuery>(message))
        return answerLocally(node, message, [respond](const PeerQueryAnswer& answer) { respond(answer); });
    if (const auto* const append = std::get_if<PeerAppend>(&message))
        return relayAppend(node, *append, respond);
    if (const auto* const over = std::get_if<PeerTakeOver>(&message))
        return takeOver(node, *over, respond);
    if (const auto* const orders = std::get_if<PeerOrders>(&message))
        return respond(takeOrders(node, *orders));
    if (const auto* const reports = std::get_if<PeerReports>(&message))
        return respond(takeReports(node, *reports));
    const auto respondWrite = [respond](WriteOutcome outcome) { respond(PeerWriteAnswer { outcome }); };
    if (const auto* const submission = std::get_if<PeerSubmit>(&message))
        return takeSubmit(node, *submission, respondWrite);
    if (const auto* const cancellation = std::get_if<PeerCancel>(&message))
        return takeCancel(node, *cancellation, respondWrite);
    const auto& ask = std::get<PeerApprovalRequest>(message);
    constexpr Duration askTimeout { 2'400 };
    node.m_ports.m_askApprovals(ask.m_step, ask.m_workers, askTimeout, [respond](const std::optional<std::vector<Approval>>& approvals) {
        respond(PeerApprovalAnswer { .m_isAnswered = approvals.has_value(), .m_approvals = approvals.value_or(std::vector<Approval> {}) });
    });
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
    node->m_storeHeardAt = now;
    const CellTopics& topics = node->m_options.m_topics;
    const auto tail = [](const std::string& topic, Duration wait, Duration pause) { return TopicTail { .m_partition = { .m_topic = topic }, .m_wait = wait, .m_pause = pause }; };
    node->m_operatorTail = tail(topics.m_operator, node->m_options.m_pollWait, {});
    node->m_leaderTail = tail(topics.m_leader, node->m_options.m_pollWait, {});
    node->m_jobsTail = tail(topics.m_jobs, node->m_options.m_pollWait, {});
    node->m_workersTail = tail(topics.m_workers, {}, node->m_options.m_workerPoll);
    resetTail(node->m_operatorTail, true);
    resetTail(node->m_leaderTail, true);
    return node;
}

} // namespace bulrushloft::cell
