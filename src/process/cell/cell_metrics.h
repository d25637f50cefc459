/** @file cell_metrics.h Metrics of a cell daemon in the Prometheus text format. */
#pragma once

#include "connection/http_limits.h"
#include "connection/http_type.h"
#include "process/cell/cell_base.h"

#include <map>

namespace bulrushloft::cell {

/** Number of calls to workers that had no complete answer, by how they ended. */
using FailedCalls = std::map<CallEnd, std::uint64_t>;

/** Refused requests by listener. */
using HttpRefusals = std::map<std::string, HttpRefusalCounts>;

/** @return The counters and gauges of a daemon in the Prometheus text format. */
std::string renderMetrics(const CellNode& node, const FailedCalls& failedCalls, const HttpRefusals& refusals = {});

} // namespace bulrushloft::cell
