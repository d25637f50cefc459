/** @file soak_silence.cpp Silent partitions of the soak's store. */
#include "soak_faults.h"

#include <iostream>

namespace bulrushloft::soak {

void FaultInjector::scheduleSilentPartitions(const SilentPartitions& fault)
{
    m_ends.push_back({ steadyNow() + fault.m_at, [this, fault] { beginSilence(fault); } });
}

void FaultInjector::beginSilence(const SilentPartitions& fault)
{
    const bool isInForce = m_storeFaults.m_silentShare > 0 || !m_storeFaults.m_silentPartitions.empty();
    if (isInForce)
        return; // One that began earlier is not over yet.
    m_storeFaults.m_silentPartitions = fault.m_partitions;
    m_storeFaults.m_silentShare = fault.m_share;
    m_storeFaults.m_silentDraw = m_random();
    std::cout << "  silent for " << fault.m_length.m_ms << " ms: " << fault.m_share << " of all partitions";
    for (const StorePartition& partition : fault.m_partitions)
        std::cout << ", " << partition.m_topic << "/" << partition.m_partition;
    std::cout << std::endl;
    applyStoreFaults();
    disturbAll(fault.m_length);
    m_ends.push_back({ steadyNow() + fault.m_length, [this] { endSilence(); } });
}

void FaultInjector::endSilence()
{
    std::cout << "  all partitions answer" << std::endl;
    m_storeFaults.m_silentPartitions.clear();
    m_storeFaults.m_silentShare = 0;
    applyStoreFaults();
}

} // namespace bulrushloft::soak
