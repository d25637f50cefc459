/** @file partition_silence.h Tells a partition of the store that carries out nothing from a store that does not, for logs and metrics. */
#pragma once

#include "process/cell/store_traffic.h"

namespace bulrushloft::cell {

/** What the partitions other than a given one do. */
struct OtherPartitions {
    std::uint32_t m_answering = 0; ///< Partitions that have lately carried out a call.
    std::uint32_t m_silent = 0; ///< Partitions that are called and have carried out nothing for partitionSilenceLimit or longer.
    StorePartition m_latest; ///< The partition that has carried out a call last; its topic is empty when none has.
    TimePoint m_latestAt; ///< When it did.
};

/** Longer than the store may hold the answer to a read until a record arrives. */
constexpr Duration partitionSilenceLimit { 1'500 };

/** @return For how long a partition has carried out nothing, unanswered or with refusals, although calls were sent to it; zero when none is missing. */
Duration partitionSilence(const PartitionTraffic& traffic, TimePoint now);

/** The same for a partition that need not have been called yet. */
Duration partitionSilence(const StoreTraffic& traffic, const StorePartition& partition, TimePoint now);

/** @return What the partitions but the given one do. */
OtherPartitions otherPartitions(const StoreTraffic& traffic, const StorePartition& except, TimePoint now);

/** Logs a partition once it has carried out nothing for partitionSilenceLimit, then at intervals, and once it does again or is not called any more. */
void reportSilence(StoreTraffic& traffic, TimePoint now);

} // namespace bulrushloft::cell
