/** @file worker_client.h Client of the platform's workers and of the service that approves workers for tasks. */
#pragma once

#include "connection/http_client.h"
#include "platform/call_failures.h"
#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::platform {

/** Sends orders to workers. Each callback runs exactly once, on the loop's thread. */
class WorkerClient {
public:
    /** @param maxIdleConnections Maximum idle connections to all workers together. */
    /**
     * @param unfinishedBytes Memory of all responses of workers that are being read; 0 for no limit.
     * @param unfinishedApprovalBytes The same of the approval service.
     */
    WorkerClient(EventLoop& loop, std::size_t maxIdleConnections, std::size_t unfinishedBytes = 0, std::size_t unfinishedApprovalBytes = 0);

    void start(const AddressedOrder<StartOrder>& order, Duration timeout, std::function<void(const StartAnswer&)> onAnswer);
    void stop(const AddressedOrder<StopOrder>& order, Duration timeout, std::function<void(OrderStatus)> onAnswer);
    void pace(const AddressedOrder<PaceOrder>& order, Duration timeout, std::function<void(OrderStatus)> onAnswer);
    void sync(const AddressedOrder<SyncOrder>& order, Duration timeout, std::function<void(OrderStatus, const SyncReport&)> onAnswer);

    /**
     * Asks the approval service which workers may run the tasks of a step.
     * @param service Address of the approval service.
     * @param step Name of any task of the step; its task index is ignored.
     * @param workers Ids of the candidate workers.
     * @param onAnswer Receives the approvals, or std::nullopt if the call failed; an answer without a list of approvals counts as no approvals.
     */
    void requestApprovals(const Address& service, const TaskName& step, const std::vector<std::string>& workers, Duration timeout, std::function<void(std::optional<std::vector<Approval>>)> onAnswer);

    /** Closes the connections to workers, busy ones after their calls; for a VM that stops leading, as each worker accepts few. */
    void retireConnections() { m_client.retireConnections(); }

    /** @return Number of request bytes written by all calls so far, headers included. */
    std::uint64_t countBytesSent() const { return m_client.countBytesSent() + m_approvalClient.countBytesSent(); }

    /** @return Calls to workers that had no complete answer. */
    const CallFailures& failures() const { return m_failures; }

private:
    void noteResult(const std::string& worker, WorkerCall call, const HttpResult& result);

    CallFailures m_failures; ///< Must outlive the clients, whose callbacks use it.
    HttpClient m_client; ///< For workers; syncs are long polls.
    HttpClient m_approvalClient; ///< For the approval service.
};

/** Decodes a worker's answer to a sync. @return The report, or std::nullopt if the body is malformed. */
std::optional<SyncReport> decodeSyncReport(std::string_view body);

/** Parses "JOB.OCCURRENCE.STEP.INDEX". @return The name, or std::nullopt if the text has another form. */
std::optional<TaskName> decodeTaskName(std::string_view text);

} // namespace bulrushloft::platform
