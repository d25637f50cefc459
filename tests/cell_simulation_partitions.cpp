/** @file cell_simulation_partitions.cpp Checks of the store's partitions and of callers after a period in which the store was slow and lossy. */
#include "cell_simulation_base.h"

#include <iostream>

namespace bulrushloft::test {

void CellSimulation::checkPartitions()
{
    constexpr std::int64_t maxWaitingMs = 3'000;
    constexpr std::int64_t second = 1'000;
    if (m_options.m_printsTraffic && m_now % second == 0)
        printTraffic();
    if (!soundTime() || m_now < *soundTime() + queueSettlingTime.m_ms)
        return;
    for (const auto& [partition, queue] : m_partitionQueues) {
        const std::int64_t waiting = queue.waitingTime(m_now);
        m_result.m_longestWaitMs = std::max(m_result.m_longestWaitMs, waiting);
        if (waiting > maxWaitingMs && m_overfilledPartitions.insert(partition).second)
            reportViolation("QUEUE: " + std::to_string(waiting) + " ms of appends wait in partition " + std::to_string(partition.m_partition) + " of " + partition.m_topic + ", and the store is sound since " + std::to_string(*soundTime()) + " ms");
    }
}

void CellSimulation::printTraffic()
{
    for (auto& [partition, queue] : m_partitionQueues) {
        const PartitionCounts& counts = queue.counts(m_now);
        PartitionCounts& last = m_printedCounts[partition];
        std::cout << m_now << " ms " << partition.m_topic << " " << partition.m_partition << ": sent " << counts.m_sent - last.m_sent << ", done " << counts.m_done - last.m_done << ", refused " << counts.m_refused - last.m_refused << ", late " << counts.m_late - last.m_late << ", waiting " << counts.m_waiting << " for " << queue.waitingTime(m_now) << " ms\n";
        last = counts;
    }
}

void CellSimulation::checkSubmissions()
{
    if (m_result.m_soundAccepted * 4 < m_result.m_soundSubmissions * 3)
        reportViolation("REJECTED: of " + std::to_string(m_result.m_soundSubmissions) + " submissions that were sent later than 4 s after the store was sound, " + std::to_string(m_result.m_soundAccepted) + " were accepted");
}

} // namespace bulrushloft::test
