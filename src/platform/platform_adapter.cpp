/** @file platform_adapter.cpp Implements the cell's ports with clients of the platform's services. */
#include "platform/platform_adapter.h"

#include "platform/job_codec.h"
#include "platform/operator_codec.h"

namespace bulrushloft::platform {

namespace {

    /** Wraps a callback so that calling it posts the callback to the decision thread. */
    template <typename... Arguments>
    std::function<void(Arguments...)> makePostingCallback(const PostFunction& post, std::function<void(Arguments...)> callback)
    {
        return [post, callback = std::move(callback)](Arguments... arguments) {
            post([callback, ... arguments = std::move(arguments)] { callback(arguments...); });
        };
    }

} // namespace

PlatformAdapter::PlatformAdapter(EventLoop& loop, const PlatformAddresses& addresses)
    : m_addresses(addresses)
    , m_store(loop, addresses.m_store, addresses.m_storeResponseBytes)
    , m_workers(loop, addresses.m_maxIdleConnections, addresses.m_workerResponseBytes, addresses.m_approvalResponseBytes)
{
}

void PlatformAdapter::fillPorts(cell::CellPorts& ports, const PostFunction& post)
{
    ports.m_append = [this, post](const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer) { m_store.append(append, timeout, makePostingCallback(post, std::move(onAnswer))); };
    ports.m_read = [this, post](const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer) { m_store.read(read, timeout, makePostingCallback(post, std::move(onAnswer))); };
    ports.m_readNewest = [this, post](const StoreNewestRead& read, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer) { m_store.readNewest(read, timeout, makePostingCallback(post, std::move(onAnswer))); };
    ports.m_start = [this, post](const auto& order, Duration timeout, std::function<void(const StartAnswer&)> onAnswer) { m_workers.start(order, timeout, makePostingCallback(post, std::move(onAnswer))); };
    ports.m_stop = [this, post](const auto& order, Duration timeout, std::function<void(OrderStatus)> onAnswer) { m_workers.stop(order, timeout, makePostingCallback(post, std::move(onAnswer))); };
    ports.m_pace = [this, post](const auto& order, Duration timeout, std::function<void(OrderStatus)> onAnswer) { m_workers.pace(order, timeout, makePostingCallback(post, std::move(onAnswer))); };
    ports.m_sync = [this, post](const auto& order, Duration timeout, std::function<void(OrderStatus, const SyncReport&)> onAnswer) {
        m_workers.sync(order, timeout, [post, onAnswer = std::move(onAnswer)](OrderStatus status, const SyncReport& report) {
            post([onAnswer, status, report] { onAnswer(status, report); });
        });
    };
    ports.m_requestApprovals = [this, post](const TaskName& step, const std::vector<std::string>& workers, Duration timeout, std::function<void(std::optional<std::vector<Approval>>)> onAnswer) {
        m_workers.requestApprovals(m_addresses.m_approvals, step, workers, timeout, makePostingCallback(post, std::move(onAnswer)));
    };
}

cell::CellDecoders PlatformAdapter::makeDecoders()
{
    return { .m_operator = decodeOperatorRecord, .m_worker = decodeWorkerEntry, .m_plan = decodeJobBody };
}

cell::CellTopics PlatformAdapter::makeTopics()
{
    return { .m_operator = "keyed.op", .m_workers = "keyed.servers" };
}

bool isReadinessRequest(const HttpRequest& request)
{
    return request.m_method == "GET" && request.m_target == "/bulrushloft/readyz";
}

} // namespace bulrushloft::platform
