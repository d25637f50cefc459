/** @file metrics.h The daemon's metrics in Prometheus text format. */
#pragma once

#include "process/node/node_base.h"

#include <memory>
#include <string>

namespace bulrushloft {

/** Traffic counters of the I/O threads. */
struct TrafficCounts {
    std::uint64_t m_heartbeatBytes = 0; ///< Bytes sent as heartbeats.
    std::uint64_t m_platformBytes = 0; ///< Bytes sent to the log service and the VM list service.
    std::uint64_t m_endpointBytes = 0; ///< Bytes sent to workers and runners.
    std::uint64_t m_peerBytes = 0; ///< Bytes sent to other daemons over TCP, including forwarded calls.
    std::size_t m_ringItems = 0; ///< Items waiting in the decision thread's event ring.
    std::uint64_t m_ringRefusals = 0; ///< Calls refused because the event ring was too full.
};

/** Collects and renders the metrics. Thread-safe. */
class Metrics {
public:
    struct Impl;

    Metrics();
    ~Metrics();

    /** Adds the durations measured by an owner to the histograms and clears the list. */
    void observe(std::vector<Observation>& observations);

    /** Updates the gauges from the state of the daemon; called by the decision thread once per second. */
    void update(const Node& node);

    /** @return All metrics in Prometheus text format. */
    std::string render(const TrafficCounts& traffic);

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft
