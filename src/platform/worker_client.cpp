/** @file worker_client.cpp HTTP client of the workers and of the approval service. */
#include "platform/worker_client.h"

#include "core/enum_table.h"
#include "platform/json_read.h"
#include "request/plan_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <climits>
#include <limits>
#include <stdexcept>

namespace bulrushloft::platform {

using Json = nlohmann::json;

namespace {

    constexpr std::array<EnumName<OrderStatus>, 5> platformRefusalNames { {
        { OrderStatus::Fenced, "fence" },
        { OrderStatus::Superseded, "old" }, // This attempt or a later one of the task has already been stopped or has ended on the worker.
        { OrderStatus::LeaseExpired, "late" },
        { OrderStatus::InsufficientCapacity, "room" },
        { OrderStatus::InvalidTicket, "ticket" },
    } };

    constexpr std::array<EnumName<AttemptEnd>, 6> platformAttemptEndNames { {
        { AttemptEnd::Done, "done" },
        { AttemptEnd::Failed, "failed" },
        { AttemptEnd::Stopped, "stopped" },
        { AttemptEnd::LeaseExpired, "lapsed" },
        { AttemptEnd::GangBroken, "broken" },
        { AttemptEnd::GangIncomplete, "alone" },
    } };

    constexpr std::size_t connectionsPerWorker = 3; ///< A worker accepts few, and keeps those of leaders that lost power: one for a sync, two for other orders.
    constexpr std::size_t keptConnectionsPerWorker = 2; ///< One for syncs and one for other orders; more only while they are in use.
    constexpr Duration spareIdleTimeout { 1'000 }; ///< Short, so that a leader that loses power leaves few connections behind.
    constexpr std::size_t connectionsToApprovals = 6;
    constexpr Duration connectTimeout { 400 };
    constexpr Duration maxWaitOnOnlyConnection { 100 }; ///< A sync that is held longer on the only connection would let a start run out of time.

    /** @return Status of an order, derived from the worker's answer or the failure of the call. */
    OrderStatus orderStatusOf(const HttpResult& result)
    {
        if (!result)
            return result.error().m_progress == CallProgress::MaybeDelivered ? OrderStatus::NoAnswer : OrderStatus::NotSent;
        switch (result->m_status) {
        case 200:
            return OrderStatus::Done;
        case 409:
            return findValue(platformRefusalNames, readString(parseJson(viewOf(result->m_body)), "reason")).value_or(OrderStatus::Invalid);
        case 421:
            return OrderStatus::WrongInstance;
        case 429:
        case 503:
            return OrderStatus::Unhealthy;
        case 400:
            return OrderStatus::Invalid;
        default:
            return OrderStatus::NoAnswer;
        }
    }

    HttpCall makeCall(const OrderTarget& target, const char* path, const Json& body, Duration timeout)
    {
        return { .m_address = target.m_address,
            .m_request = { .m_method = "POST", .m_target = path, .m_headers = { { "Content-Type", "application/json" }, { "Expected-Instance", target.m_worker } }, .m_body = makeBody(body.dump()) },
            .m_timeout = timeout };
    }

    /**
     * Parses the number after the last dot, and removes the dot and what follows it from the text.
     * @return False if there is no dot, or if what follows it is not a number.
     */
    template <typename Integer>
    bool parseLastComponent(std::string_view& text, Integer& value)
    {
        const std::size_t dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return false;
        const std::string_view part = text.substr(dot + 1);
        const auto parsed = std::from_chars(part.data(), part.data() + part.size(), value);
        text = text.substr(0, dot);
        return parsed.ec == std::errc() && parsed.ptr == part.data() + part.size();
    }

    /** @return A number as an int, at most the largest one; 0 if it is none. */
    int toSmallInt(const Json& value)
    {
        return static_cast<int>(std::clamp<std::int64_t>(toInt(value).value_or(0), INT_MIN, INT_MAX));
    }

    /** @return A number of an attempt or an end. Converting one that is out of range, such as 1e300, has no defined result, so that makes the report malformed. */
    template <typename Count>
    Count toCount(const Json& value)
    {
        const auto number = toInt(value);
        if (!number || *number < 0 || static_cast<std::uint64_t>(*number) > std::numeric_limits<Count>::max())
            throw std::out_of_range("a number of the report is out of range");
        return static_cast<Count>(*number);
    }

    RunningAttempt decodeRunningAttempt(const Json& row)
    {
        RunningAttempt running;
        running.m_task = decodeTaskName(row.at(0).get<std::string>()).value_or(TaskName {});
        running.m_attempt = toCount<std::uint32_t>(row.at(1));
        running.m_checkpoint = row.at(2);
        running.m_percent = toSmallInt(row.at(3));
        running.m_loadMetric = row.size() > 4 ? toSmallInt(row.at(4)) : 0;
        return running;
    }

    EndedAttempt decodeEndedAttempt(const Json& row)
    {
        return { .m_number = toCount<std::uint64_t>(row.at(0)),
            .m_task = decodeTaskName(row.at(1).get<std::string>()).value_or(TaskName {}),
            .m_attempt = toCount<std::uint32_t>(row.at(2)),
            .m_end = findValue(platformAttemptEndNames, row.at(3).get<std::string>()).value_or(AttemptEnd::LeaseExpired),
            .m_checkpoint = row.at(4) };
    }

} // namespace

std::optional<TaskName> decodeTaskName(std::string_view text)
{
    TaskName name;
    if (!parseLastComponent(text, name.m_index) || !parseLastComponent(text, name.m_step) || !parseLastComponent(text, name.m_occurrence))
        return std::nullopt;
    name.m_job = text;
    return name;
}

std::optional<SyncReport> decodeSyncReport(std::string_view body)
{
    try {
        const Json root = Json::parse(body);
        SyncReport report { .m_clockMs = readInt(root, "clock_ms"), .m_processStartMs = readInt(root, "born"), .m_running = {}, .m_ended = {} };
        if (const auto running = root.find("running"); running != root.end()) {
            for (const Json& row : *running)
                report.m_running.push_back(decodeRunningAttempt(row));
        }
        if (const auto ended = root.find("finished"); ended != root.end()) {
            for (const Json& row : *ended)
                report.m_ended.push_back(decodeEndedAttempt(row));
        }
        return report;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

WorkerClient::WorkerClient(EventLoop& loop, std::size_t maxIdleConnections, std::size_t unfinishedBytes, std::size_t unfinishedApprovalBytes)
    : m_client(loop, { .m_connectionsPerAddress = connectionsPerWorker, .m_connectTimeout = connectTimeout, .m_maxIdleConnections = maxIdleConnections, .m_keptConnectionsPerAddress = keptConnectionsPerWorker, .m_spareIdleTimeout = spareIdleTimeout, .m_sharesWithLongPolls = true, .m_unfinishedBytes = unfinishedBytes, .m_learnsLimit = true })
    , m_approvalClient(loop, { .m_connectionsPerAddress = connectionsToApprovals, .m_connectTimeout = connectTimeout, .m_unfinishedBytes = unfinishedApprovalBytes })
{
}

void WorkerClient::noteResult(const std::string& worker, WorkerCall call, const HttpResult& result)
{
    if (!result)
        m_failures.note(worker, call, result.error());
}

void WorkerClient::start(const AddressedOrder<StartOrder>& order, Duration timeout, std::function<void(const StartAnswer&)> onAnswer)
{
    Json body { { "task", format(order.m_order.m_task) }, { "attempt", order.m_order.m_attempt }, { "spec", order.m_order.m_payload }, { "deadline_ms", order.m_order.m_leaseUntilMs }, { "fencing_token", order.m_to.m_token } };
    if (!order.m_order.m_checkpoint.empty())
        body["checkpoint"] = order.m_order.m_checkpoint;
    if (!order.m_order.m_ticket.empty())
        body["ticket"] = order.m_order.m_ticket;
    m_client.send(makeCall(order.m_to, "/bulrushloft/run-start", body, timeout), [this, worker = order.m_to.m_worker, onAnswer = std::move(onAnswer)](const HttpResult& result) {
        noteResult(worker, WorkerCall::Start, result);
        const std::int64_t clockMs = result ? readInt(parseJson(viewOf(result->m_body)), "clock_ms") : 0;
        onAnswer({ .m_status = orderStatusOf(result), .m_clockMs = clockMs });
    });
}

void WorkerClient::stop(const AddressedOrder<StopOrder>& order, Duration timeout, std::function<void(OrderStatus)> onAnswer)
{
    const Json body { { "task", format(order.m_order.m_task) }, { "attempt", order.m_order.m_attempt }, { "fencing_token", order.m_to.m_token } };
    m_client.send(makeCall(order.m_to, "/bulrushloft/run-stop", body, timeout), [this, worker = order.m_to.m_worker, onAnswer = std::move(onAnswer)](const HttpResult& result) {
        noteResult(worker, WorkerCall::Stop, result);
        onAnswer(orderStatusOf(result));
    });
}

void WorkerClient::pace(const AddressedOrder<PaceOrder>& order, Duration timeout, std::function<void(OrderStatus)> onAnswer)
{
    const Json body { { "task", format(order.m_order.m_task) }, { "attempt", order.m_order.m_attempt }, { "percent", order.m_order.m_percent }, { "fencing_token", order.m_to.m_token } };
    m_client.send(makeCall(order.m_to, "/bulrushloft/pace", body, timeout), [this, worker = order.m_to.m_worker, onAnswer = std::move(onAnswer)](const HttpResult& result) {
        noteResult(worker, WorkerCall::Pace, result);
        onAnswer(orderStatusOf(result));
    });
}

void WorkerClient::sync(const AddressedOrder<SyncOrder>& order, Duration timeout, std::function<void(OrderStatus, const SyncReport&)> onAnswer)
{
    Json body { { "fencing_token", order.m_to.m_token }, { "ack_seq", order.m_order.m_ackedEndNumber } };
    if (order.m_order.m_leaseUntilMs)
        body["deadline_ms"] = *order.m_order.m_leaseUntilMs;
    const bool isLimited = m_client.isLimitedToOneConnection(order.m_to.m_address);
    const Duration wait = isLimited ? std::min(order.m_order.m_wait, maxWaitOnOnlyConnection) : order.m_order.m_wait;
    if (wait.m_ms > 0)
        body["wait_ms"] = wait.m_ms;
    HttpCall call = makeCall(order.m_to, "/bulrushloft/hold", body, timeout - (order.m_order.m_wait - wait));
    call.m_isLongPoll = true;
    m_client.send(std::move(call), [this, worker = order.m_to.m_worker, onAnswer = std::move(onAnswer)](const HttpResult& result) {
        noteResult(worker, WorkerCall::Sync, result);
        const OrderStatus status = orderStatusOf(result);
        if (status != OrderStatus::Done)
            return onAnswer(status, {});
        const auto report = decodeSyncReport(viewOf(result->m_body));
        onAnswer(report ? OrderStatus::Done : OrderStatus::NoAnswer, report.value_or(SyncReport {}));
    });
}

void WorkerClient::requestApprovals(const Address& service, const TaskName& step, const std::vector<std::string>& workers, Duration timeout, std::function<void(std::optional<std::vector<Approval>>)> onAnswer)
{
    const Json body { { "step", step.m_job + "." + std::to_string(step.m_occurrence) + "." + std::to_string(step.m_step) }, { "workers", workers } };
    HttpCall call { .m_address = service, .m_request = { .m_method = "POST", .m_target = "/bulrushloft/advise", .m_headers = { { "Content-Type", "application/json" } }, .m_body = makeBody(body.dump()) }, .m_timeout = timeout };
    m_approvalClient.send(std::move(call), [onAnswer = std::move(onAnswer)](const HttpResult& result) {
        constexpr unsigned statusOk = 200;
        if (!result || result->m_status != statusOk)
            return onAnswer(std::nullopt);
        const Json root = parseJson(viewOf(result->m_body));
        const auto rows = root.is_object() ? root.find("approved") : root.end();
        std::vector<Approval> approvals;
        if (!root.is_object() || rows == root.end() || !rows->is_array())
            return onAnswer(approvals);
        for (const Json& row : *rows) {
            if (row.is_array() && row.size() >= 2 && row[0].is_string() && row[1].is_string())
                approvals.push_back({ .m_worker = row[0], .m_ticket = row[1] });
        }
        onAnswer(std::move(approvals));
    });
}

} // namespace bulrushloft::platform
