/** @file metrics.h The daemon's metrics, in the text form of Prometheus. */
#pragma once

#include "process/node_base.h"

#include <memory>
#include <string>

namespace bulrushloft {

/** What the input/output threads have counted. */
struct TrafficCounts {
    std::uint64_t m_heartbeatBytes = 0; ///< Bytes of heartbeats sent.
    std::uint64_t m_platformBytes = 0; ///< Bytes sent to the log and the list of VMs.
    std::uint64_t m_endpointBytes = 0; ///< Bytes sent to workers and runners.
    std::uint64_t m_peerBytes = 0; ///< Bytes sent to other daemons, calls of callers included.
    std::size_t m_ringItems = 0; ///< Items in the ring of the deciding thread.
    std::uint64_t m_ringRefusals = 0; ///< Items refused because the ring was full.
};

/** Keeps and renders metrics; thread-safe. */
class Metrics {
public:
    struct Impl;

    Metrics();
    ~Metrics();

    /** Takes the spans that owners have measured and clears them. */
    void observe(std::vector<Observation>& observations);

    /** Takes the gauges and counters of a daemon; called by the deciding thread once a second. */
    void update(const Node& node);

    /** @return All metrics as text. */
    std::string render(const TrafficCounts& traffic);

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrushloft
