/** @file worker_client.h Orders to the platform's workers, and calls to the service that approves workers. */
#pragma once

#include "connection/http_client.h"
#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::platform {

/** Sends orders; results come on the loop's thread. */
class WorkerClient {
public:
    /** @param mostIdle Idle connections that are kept to all workers together, for each kind of call. */
    WorkerClient(EventLoop& loop, std::size_t mostIdle);

    void start(const AddressedOrder<StartOrder>& order, Duration timeout, std::function<void(OrderStatus)> onAnswer);
    void stop(const AddressedOrder<StopOrder>& order, Duration timeout, std::function<void(OrderStatus)> onAnswer);
    void pace(const AddressedOrder<PaceOrder>& order, Duration timeout, std::function<void(OrderStatus)> onAnswer);
    void sync(const AddressedOrder<SyncOrder>& order, Duration timeout, std::function<void(OrderStatus, const SyncReport&)> onAnswer);

    /**
     * Asks which workers may run a step.
     * @param service Address of the approving service.
     * @param onAnswer Gets the approvals, or nothing when the call failed.
     */
    void askApprovals(const Address& service, const TaskName& step, const std::vector<std::string>& workers, Duration timeout, std::function<void(std::optional<std::vector<Approval>>)> onAnswer);

    /** @return Bytes sent so far. */
    std::uint64_t countBytesSent() const { return m_client.countBytesSent() + m_syncClient.countBytesSent(); }

private:
    HttpClient m_client; ///< For orders.
    HttpClient m_syncClient; ///< For syncs, which wait at the worker.
};

/** Reads a worker's lists; nothing when they can't be read. */
std::optional<SyncReport> decodeSyncReport(std::string_view body);

/** Reads "ID.K.STEP.INDEX"; nothing when it is not of that form. */
std::optional<TaskName> decodeTaskName(std::string_view text);

} // namespace bulrushloft::platform
