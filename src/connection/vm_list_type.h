/** @file vm_list_type.h The platform's list of VMs. */
#pragma once

#include "core/address_type.h"
#include "request/resources_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushloft {

/** Role of a VM. */
enum class VmRole : std::uint8_t {
    Entry, ///< Runs a daemon of this system.
    Worker, ///< Runs tasks under leases.
    Runner, ///< Runs a service that answers requests.
};

/** State of a VM according to the platform's list, which lags behind the actual state. */
enum class VmState : std::uint8_t {
    Live, ///< In use.
    Leaving, ///< About to be removed; accepts no new work.
    Gone, ///< Removed; nothing runs on it any more.
};

/** A VM on the platform's list. */
struct VmInfo {
    std::string m_name; ///< Unique name.
    VmRole m_role = VmRole::Worker; ///< Role.
    VmState m_state = VmState::Live; ///< State according to the platform.
    std::string m_pool; ///< Pool of the worker or runner; empty for an entry VM.
    std::string m_zone; ///< Availability zone.
    std::string m_rack; ///< Rack that hosts the VM.
    Address m_address; ///< Address on which its process listens.
    Resources m_capacity; ///< Resources of a worker.
    std::uint32_t m_slots = 0; ///< Maximum number of concurrent requests of a runner.
    std::uint32_t m_connections = 0; ///< Maximum number of connections to a runner.
};

/** A version of the VM list. */
struct VmList {
    std::uint64_t m_version = 0; ///< Increases with each change.
    std::vector<VmInfo> m_vms; ///< All VMs of the cell.
};

std::string_view nameOf(VmRole role);
std::string_view nameOf(VmState state);

} // namespace bulrushloft
