/** @file vm_list_type.h The platform's list of VMs. */
#pragma once

#include "core/address_type.h"
#include "request/resources_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushloft {

/** What runs on a VM. */
enum class VmRole : std::uint8_t {
    Entry, ///< This system.
    Worker, ///< Tasks under leases.
    Runner, ///< A service that answers requests.
};

/** What the platform says of a VM; the list lags. */
enum class VmState : std::uint8_t {
    Live, ///< In use.
    Leaving, ///< Will go away; wants no new work.
    Gone, ///< Has been taken away; nothing runs on it any more.
};

/** One VM. */
struct VmInfo {
    std::string m_name; ///< Name of the VM.
    VmRole m_role = VmRole::Worker; ///< What runs on it.
    VmState m_state = VmState::Live; ///< What the platform says of it.
    std::string m_pool; ///< Pool of workers or runners; empty for an entry VM.
    std::string m_zone; ///< Availability zone.
    std::string m_rack; ///< Rack.
    Address m_address; ///< Where its process listens.
    Resources m_capacity; ///< What a worker has.
    std::uint32_t m_slots = 0; ///< Requests that a runner serves at once.
    std::uint32_t m_connections = 0; ///< Connections that a runner takes.
};

/** A version of the list. */
struct VmList {
    std::uint64_t m_version = 0; ///< Grows with each change.
    std::vector<VmInfo> m_vms; ///< All VMs.
};

std::string_view nameOf(VmRole role);
std::string_view nameOf(VmState state);

} // namespace bulrushloft
