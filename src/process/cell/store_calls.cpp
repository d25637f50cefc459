/** @file store_calls.cpp The cell's calls to the store, counted for each partition. */
#include "process/cell/cell_detail.h"

namespace bulrushloft::cell::detail {

namespace {

    /** Sends a call and counts it and its answer. @param port Sends the call. @param traffic Selects the counts of its kind. */
    template <typename Call, typename Answer>
    void sendCounted(CellNode& node, const std::function<void(Call, Duration, std::function<void(Answer)>)>& port, const Call& call, Duration timeout, CallTraffic PartitionTraffic::*traffic, std::function<void(Answer)> onAnswer)
    {
        onCallSent(node.m_storeTraffic.m_partitions[call.m_partition].*traffic, node.m_now);
        port(call, timeout, [&node, partition = call.m_partition, traffic, sentAt = node.m_now, onAnswer = std::move(onAnswer)](const Answer& answer) {
            onCallAnswered(node.m_storeTraffic.m_partitions[partition].*traffic, answer.m_status, sentAt, node.m_now);
            onAnswer(answer);
        });
    }

} // namespace

void sendAppend(CellNode& node, const StoreAppend& append, Duration timeout, std::function<void(StoreAppendAnswer)> onAnswer)
{
    sendCounted<StoreAppend, StoreAppendAnswer>(node, node.m_ports.m_append, append, timeout, &PartitionTraffic::m_appends, std::move(onAnswer));
}

void sendRead(CellNode& node, const StoreRead& read, Duration timeout, std::function<void(StoreReadAnswer)> onAnswer)
{
    sendCounted<StoreRead, StoreReadAnswer>(node, node.m_ports.m_read, read, timeout, &PartitionTraffic::m_reads, std::move(onAnswer));
}

void sendListing(CellNode& node, const StoreNewestRead& read, Duration timeout, std::function<void(StoreNewestAnswer)> onAnswer)
{
    sendCounted<StoreNewestRead, StoreNewestAnswer>(node, node.m_ports.m_readNewest, read, timeout, &PartitionTraffic::m_reads, std::move(onAnswer));
}

} // namespace bulrushloft::cell::detail
