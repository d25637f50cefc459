/** @file cell_metrics.h Metrics of a daemon of the cell, in the text form of Prometheus. */
#pragma once

#include "process/cell/cell_base.h"

namespace bulrushloft::cell {

/** @return The counters and gauges of a daemon. */
std::string renderMetrics(const CellNode& node);

} // namespace bulrushloft::cell
