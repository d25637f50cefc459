/** @file cell_simulation_silence.cpp Periods of a simulation in which some partitions of the store don't answer while all others do. */
#include "cell_simulation_base.h"

#include "core/hash_func.h"
#include "process/cell/cell_base.h"

namespace bulrushloft::test {

namespace {

    constexpr std::int64_t awayTime = 60'000; // A killed leader stays away for this long, in ms.

} // namespace

void CellSimulation::scheduleSilence()
{
    const SilentPartitions& silence = m_options.m_silentPartitions;
    if (silence.m_length.m_ms == 0)
        return;
    for (int i = 0; i < silence.m_count; ++i)
        schedule(m_loadStart - m_now + silence.m_start.m_ms + i * (silence.m_length + silence.m_pause).m_ms, [this] { beginSilence(); });
}

StorePartition CellSimulation::partitionInUse(const std::string& topic)
{
    StorePartition busiest { .m_topic = topic };
    std::uint64_t mostAppends = 0;
    for (auto& [partition, queue] : m_partitionQueues) {
        const std::uint64_t appends = queue.counts(m_now).m_sent - m_appendsBeforeSilence[partition];
        if (partition.m_topic != topic || appends <= mostAppends)
            continue;
        busiest = partition;
        mostAppends = appends;
    }
    return busiest;
}

void CellSimulation::beginSilence()
{
    const SilentPartitions& silence = m_options.m_silentPartitions;
    m_silentPartitions = { silence.m_partitions.begin(), silence.m_partitions.end() };
    for (const std::string& topic : silence.m_topics)
        m_silentPartitions.insert(partitionInUse(topic));
    m_silentFrom = m_now;
    m_silentUntil = m_now + silence.m_length.m_ms;
    // Claims tell where the journal is, so a leader can't replace its journal while both are silent; then only the daemons' own writes can store submissions.
    const bool isLeaderMute = isSilent(partitionInUse(cell::CellTopics {}.m_progress)) && isSilent(partitionInUse(cell::CellTopics {}.m_leader));
    m_mustTasksEndInSilence = silence.m_mustTasksEnd && !isLeaderMute;
    m_mustAcceptInSilence = !isLeaderMute || !isSilent(partitionInUse(cell::CellTopics {}.m_jobs));
    m_silenceSettledAt = m_now + silence.m_settlingTime.m_ms;
    m_latestSilentEndAt = m_silenceSettledAt;
    m_disruptedUntil = std::max(m_disruptedUntil, m_silentUntil);
    schedule(silence.m_length.m_ms, [this] {
        for (auto& [partition, queue] : m_partitionQueues)
            m_appendsBeforeSilence[partition] = queue.counts(m_now).m_sent;
    });
    for (const FakeLeaseWorker& worker : m_workers) {
        for (const auto& [task, run] : worker.m_running) {
            if (silence.m_mustLeasesHold)
                m_guardedAttempts.emplace(task, run.m_attempt);
        }
    }
    m_result.m_guardedAttempts = static_cast<int>(m_guardedAttempts.size());
    if (silence.m_followerDownTime.m_ms > 0)
        killFollower(silence.m_followerDownTime);
    if (silence.m_leaderKillDelay.m_ms > 0) {
        schedule(silence.m_leaderKillDelay.m_ms, [this] {
            if (SimulatedNode* const leader = findLeader())
                stopNode(*leader, awayTime);
        });
    }
}

bool CellSimulation::isSilent(const StorePartition& partition) const
{
    constexpr std::uint64_t scale = 1'000;
    if (m_now < m_silentFrom || m_now >= m_silentUntil)
        return false;
    const std::uint64_t draw = stableHash(partition.m_topic, m_options.m_seed * scale + partition.m_partition) % scale;
    return m_silentPartitions.contains(partition) || static_cast<double>(draw) < m_options.m_silentPartitions.m_share * scale;
}

void CellSimulation::noteSilentEnd()
{
    if (!isSettledInSilence())
        return;
    ++m_result.m_silentEnds;
    m_latestSilentEndAt = m_now;
}

void CellSimulation::checkSilence()
{
    if (!isSettledInSilence() || m_now >= m_loadEnd)
        return;
    const std::int64_t gap = m_now - m_latestSilentEndAt;
    m_result.m_longestSilentGapMs = std::max(m_result.m_longestSilentGapMs, gap);
    if (!m_mustTasksEndInSilence || gap <= maxTaskGap.m_ms || std::exchange(m_reportedSilentEndAt, m_latestSilentEndAt) == m_latestSilentEndAt)
        return;
    reportViolation("STALLED: no task has ended since " + std::to_string(m_latestSilentEndAt) + " ms, and partitions are silent since " + std::to_string(m_silentFrom) + " ms");
}

void CellSimulation::checkSilentSubmissions()
{
    if (m_result.m_silentAccepted * 4 < m_result.m_silentCount * 3)
        reportViolation("REJECTED: of " + std::to_string(m_result.m_silentCount) + " submissions that were sent while partitions were silent, " + std::to_string(m_result.m_silentAccepted) + " were accepted");
}

} // namespace bulrushloft::test
