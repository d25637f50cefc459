/** @file operator_codec.h The operator's configuration and requests, and the entries of workers, as the store keeps them. */
#pragma once

#include "connection/order_type.h"
#include "process/cell/cell_base.h"

namespace bulrushloft::platform {

/** Reads a record of the operator; nothing when it is of no use to us or can't be read. */
cell::OperatorRecord decodeOperatorRecord(const std::string& key, const std::string& value);

/** Reads the entry of a worker; nothing when it names no worker to use. */
std::optional<WorkerAnnouncement> decodeWorkerEntry(const std::string& id, const std::string& value);

} // namespace bulrushloft::platform
