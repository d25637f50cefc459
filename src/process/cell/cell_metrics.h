/** @file cell_metrics.h Metrics of a cell daemon in the Prometheus text format. */
#pragma once

#include "process/cell/cell_base.h"

namespace bulrushloft::cell {

/** @return The counters and gauges of a daemon in the Prometheus text format. */
std::string renderMetrics(const CellNode& node);

} // namespace bulrushloft::cell
