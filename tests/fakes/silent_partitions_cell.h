/** @file silent_partitions_cell.h A cell of one VM on a store of which single partitions answer nothing. */
#pragma once

#include "fakes/one_vm_cell.h"

#include <set>
#include <utility>

namespace bulrushloft::test {

inline const StorePartition operatorPartition { .m_topic = "op" };
inline const StorePartition workersPartition { .m_topic = workersTopic };

/** @return The partitions that hold copies of the configuration. */
inline std::set<StorePartition> copyPartitions()
{
    std::set<StorePartition> partitions;
    for (std::uint32_t i = 0; i < configCopyCount; ++i)
        partitions.insert({ .m_topic = "keyed.config", .m_partition = i });
    return partitions;
}

/** Calls to a silent partition are not carried out and not answered; the others are answered at the next step. */
struct SilentPartitionsCell : OneVmCell {
    std::set<StorePartition> m_silent;
    std::vector<StoreAppend> m_appends; ///< All appends that the VM has sent.

    SilentPartitionsCell() { restart(); }

    /** Starts the VM's process anew, which then knows nothing. The value of a configuration is its version. */
    void restart()
    {
        startNode();
        m_node->m_decoders.m_operator = [](const std::string&, const std::string& value) -> OperatorRecord {
            ClusterSettings cluster = makeCluster();
            cluster.m_version = std::stoull(value);
            return cluster;
        };
        CellPorts& ports = m_node->m_ports;
        ports.m_append = wrap<StoreAppend, StoreAppendAnswer>(ports.m_append);
        ports.m_read = wrap<StoreRead, StoreReadAnswer>(ports.m_read);
        ports.m_readNewest = wrap<StoreNewestRead, StoreNewestAnswer>(ports.m_readNewest);
    }

    /** @return A port that leaves calls to silent partitions unanswered until their time is over. */
    template <typename Call, typename Answer>
    std::function<void(Call, Duration, std::function<void(Answer)>)> wrap(std::function<void(Call, Duration, std::function<void(Answer)>)> send)
    {
        return [this, send = std::move(send)](const Call& call, Duration timeout, const std::function<void(Answer)>& onAnswer) {
            if constexpr (std::is_same_v<Call, StoreAppend>)
                m_appends.push_back(call);
            if (m_silent.contains(call.m_partition))
                m_lateAnswers.emplace(m_now + timeout, [onAnswer] { onAnswer({ .m_status = StoreStatus::Unknown }); });
            else
                send(call, timeout, onAnswer);
        };
    }

    void writeConfig(std::uint64_t version) { append("op", "config", std::to_string(version)); }

    /** @return Version in force; 0 for none. */
    std::uint64_t version() const { return m_node->m_cluster ? m_node->m_cluster->m_version : 0; }

    /** @return Versions that were in force, one after the other, beginning with the present one. */
    std::vector<std::uint64_t> watchVersions(int steps)
    {
        std::vector<std::uint64_t> versions { version() };
        for (int i = 0; i < steps; ++i) {
            step();
            if (version() != versions.back())
                versions.push_back(version());
        }
        return versions;
    }
};

} // namespace bulrushloft::test
