/** @file cells.h VM lists of the two deployed cells, optionally with more workers for measurements. */
#pragma once

#include "connection/vm_list_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** Size of a pool. */
struct PoolShape {
    std::string m_name; ///< Name of the pool.
    std::uint32_t m_runners = 0; ///< Number of runners.
    std::uint32_t m_workers = 0; ///< Number of workers.
    Resources m_workerSize; ///< Capacity of a worker.
    std::uint32_t m_vmsPerRack = 5; ///< Number of workers in a rack, and also of runners.
};

/** @return Pools of a cell; any name but "tx-central" gives those of uy-sur. */
inline std::vector<PoolShape> poolShapesOf(const std::string& cell)
{
    constexpr Resources gpuWorker { 32'000, 128 * 1024, 8 };
    if (cell == "tx-central")
        return { { "storefront", 35, 35, { 16'000, 32 * 1024, 0 }, 5 }, { "etching", 13, 13, gpuWorker, 3 } };
    return { { "proof", 35, 35, { 32'000, 64 * 1024, 0 }, 5 }, { "engraving", 13, 13, gpuWorker, 3 } };
}

/**
 * @param cell Name of the cell.
 * @param entries Number of entry VMs.
 * @param workerFactor Multiplies the number of workers of each pool.
 * @return The list of VMs of the cell. The second octet of an address is the role (0 entry, 1 worker, 2 runner) and the third
 * counts subnets of 200 hosts. Racks are spread over three availability zones in turn.
 */
inline VmList makeVmList(const std::string& cell, std::uint32_t entries, std::uint32_t workerFactor = 1)
{
    constexpr std::uint32_t zones = 3;
    constexpr std::uint32_t hostsPerSubnet = 200;
    VmList list { .m_version = 1 };
    std::uint32_t hosts[3] = { 0, 0, 0 };
    const auto add = [&](VmRole role, const std::string& name, const std::string& pool, std::uint32_t index, std::uint32_t perRack, std::uint16_t port) {
        const std::uint32_t host = ++hosts[static_cast<std::size_t>(role)];
        const std::uint32_t zone = (index / perRack) % zones;
        const std::string subnet = "127." + std::to_string(static_cast<unsigned>(role)) + "." + std::to_string(host / hostsPerSubnet) + ".";
        VmInfo vm { .m_name = name, .m_role = role, .m_pool = pool };
        vm.m_zone = std::string(1, static_cast<char>('a' + zone));
        vm.m_rack = pool + "-rack-" + std::to_string(index / perRack);
        vm.m_address = { subnet + std::to_string(host % hostsPerSubnet + 1), port };
        list.m_vms.push_back(vm);
        return list.m_vms.size() - 1;
    };
    for (std::uint32_t index = 0; index < entries; ++index)
        add(VmRole::Entry, "entry-" + std::to_string(index + 1), "", index, 1, 7400);
    for (const PoolShape& shape : poolShapesOf(cell)) {
        for (std::uint32_t index = 0; index < shape.m_workers * workerFactor; ++index)
            list.m_vms[add(VmRole::Worker, shape.m_name + "-worker-" + std::to_string(index + 1), shape.m_name, index, shape.m_vmsPerRack, 7600)].m_capacity = shape.m_workerSize;
        for (std::uint32_t index = 0; index < shape.m_runners; ++index) {
            VmInfo& vm = list.m_vms[add(VmRole::Runner, shape.m_name + "-runner-" + std::to_string(index + 1), shape.m_name, index, shape.m_vmsPerRack, 7700)];
            vm.m_slots = 8;
            vm.m_connections = 64;
        }
    }
    return list;
}

} // namespace bulrushloft
