/** @file operator_codec.h Decoders of operator records and worker entries in the store. */
#pragma once

#include "connection/order_type.h"
#include "process/cell/cell_base.h"
#include "version/customer.h"

namespace bulrushloft::platform {

/** A decoded configuration. */
struct DecodedConfig {
    ClusterSettings m_cluster; ///< What is usable of it.
    std::vector<CustomerFault> m_customerFaults; ///< What was left out of its customers.
};

/** @return The configuration in the JSON text of a record; nothing if it can't be decoded. */
std::optional<DecodedConfig> decodeConfig(const std::string& value);

/**
 * Decodes a record of the operator.
 * @param key Key of the record in the operator topic.
 * @param value JSON text of the record.
 * @return The configuration or maintenance wave; cell::UnreadableCluster for a malformed configuration; std::monostate if the key is not used here or a wave is malformed.
 */
cell::OperatorRecord decodeOperatorRecord(const std::string& key, const std::string& value);

/**
 * Decodes the entry of a worker.
 * @param id Id of the worker, the key of the entry.
 * @param value JSON text of the entry.
 * @return The worker, or std::nullopt if the entry is malformed, has no pool, address or capacity, or its state is neither ready nor draining.
 */
std::optional<WorkerAnnouncement> decodeWorkerEntry(const std::string& id, const std::string& value);

} // namespace bulrushloft::platform
