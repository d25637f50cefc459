/** @file cell_simulation_zones.cpp Cuts between daemons of a simulation in which two leaders reach different workers. */
#include "cell_simulation_base.h"

#include "process/cell/cell_base.h"

namespace bulrushloft::test {

namespace {

    constexpr std::int64_t leaderPollInterval = 50; // How often a scheduled fault looks for a leader, in ms.
    constexpr std::int64_t leaderRestartTime = 60; // A restarted leader is down for this long, in ms, so that no other daemon takes its place.
    constexpr std::int64_t maxLeadTime = 3'000; // A restarted leader leads again within this time, in ms, or the store is cut off all the same.
    constexpr std::int64_t shortestSuspension = 200;
    constexpr std::int64_t longestSuspension = 590; // From 600 ms on a daemon takes it for a suspension.

    /** @return Whether a leader was on the list of members when its term began. */
    bool wasListed(const cell::CellNode& leader)
    {
        const auto& list = leader.m_termLease.m_loadedList;
        return list && cell::isListed(*list, cell::memberIdOf(leader.m_options.m_self));
    }

} // namespace

bool CellSimulation::isCutBetween(const SimulatedNode& from, const SimulatedNode& to) const
{
    if (isCut(from) == isCut(to))
        return false;
    if (m_options.m_zoneCut.m_isFromJoiningVmOnly && !isJoiningVm(from) && !isJoiningVm(to))
        return false;
    const CutDirection direction = m_options.m_zoneCut.m_direction;
    const bool isFromCutSide = isCut(from);
    return direction == CutDirection::Both || isFromCutSide == (direction == CutDirection::ToOthers);
}

bool CellSimulation::isStoreCut(const SimulatedNode& node, const std::string& topic) const
{
    if (m_now >= node.m_storeCutUntil)
        return false;
    return m_options.m_zoneCut.m_store == StoreCut::All || topic == cell::CellTopics {}.m_leader;
}

bool CellSimulation::isCutOff(const SimulatedNode& node, const FakeLeaseWorker& worker) const
{
    return m_now < m_workersCutUntil && isCut(node) != m_cutWorkers.contains(worker.m_id);
}

void CellSimulation::scheduleZoneCuts()
{
    const ZoneCut& cut = m_options.m_zoneCut;
    for (int i = 0; i < cut.m_count; ++i) {
        const std::int64_t untilCut = m_loadStart - m_now + cut.m_start.m_ms + i * (cut.m_length + cut.m_pause).m_ms;
        if (cut.m_restartLead.m_ms > 0) {
            schedule(untilCut - cut.m_restartLead.m_ms, [this, &cut] {
                for (SimulatedNode& node : m_nodes)
                    stopNode(node, cut.m_restartDownTime.m_ms);
            });
        }
        schedule(untilCut, [this, &cut] { beginZoneCut(m_now + cut.m_length.m_ms); });
    }
}

void CellSimulation::beginZoneCut(std::int64_t until)
{
    SimulatedNode* const leader = findLeader();
    if (!leader)
        return schedule(leaderPollInterval, [this, until] { beginZoneCut(until); });
    const ZoneCut& cut = m_options.m_zoneCut;
    ++m_result.m_cuts;
    m_hasDoubleTerm = false;
    leader->m_cutUntil = until;
    for (int added = 0; added < cut.m_companions;) {
        SimulatedNode& companion = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
        if (isCut(companion))
            continue;
        companion.m_cutUntil = until;
        ++added;
    }
    m_workersCutUntil = until;
    m_cutWorkers.clear();
    for (const FakeLeaseWorker& worker : m_workers) {
        if (randomBool(0.5))
            m_cutWorkers.insert(worker.m_id);
    }
    m_disruptedUntil = std::max(m_disruptedUntil, until);
    for (SimulatedNode& node : m_nodes) {
        if (cut.m_othersDownTime.m_ms > 0 && !isCut(node))
            stopNode(node, cut.m_othersDownTime.m_ms);
    }
    if (cut.m_restartsLeader)
        stopNode(*leader, leaderRestartTime);
    cutFromStore(*leader, m_now + maxLeadTime);
    for (int i = 0; i < cut.m_suspensions; ++i)
        schedule(randomBetween(0, until - m_now), [this, leader] { suspendShortly(*leader); });
}

void CellSimulation::cutFromStore(SimulatedNode& leader, std::int64_t latestAt)
{
    if (m_options.m_zoneCut.m_store == StoreCut::None)
        return;
    const bool isLeading = leader.m_cell && leader.m_cell->m_role == cell::Role::Leading;
    if (!isLeading && m_now < latestAt)
        return schedule(tickLength.m_ms, [this, &leader, latestAt] { cutFromStore(leader, latestAt); });
    for (SimulatedNode& node : m_nodes) {
        if (isCut(node))
            node.m_storeCutUntil = node.m_cutUntil;
    }
}

void CellSimulation::suspendShortly(SimulatedNode& node)
{
    if (node.m_cell && m_now >= node.m_suspendedUntil)
        node.m_suspendedUntil = m_now + randomBetween(shortestSuspension, longestSuspension);
}

void CellSimulation::observeJoiningVm()
{
    const bool isAwaited = m_options.m_joiningVm.m_at.m_ms > 0 && (m_options.m_takeOver.m_at.m_ms == 0 || m_leaderEndedAt);
    if (!isAwaited)
        return;
    const cell::CellNode* const joined = m_nodes.back().m_cell.get();
    if (joined && joined->m_role == cell::Role::Leading && joined->m_term > m_endedTerm && !wasListed(*joined))
        m_result.m_hasJoinedVmLed = true;
}

void CellSimulation::observeLeaders()
{
    const bool isSuccessorLeading = std::any_of(m_nodes.begin(), m_nodes.end(), [this](const SimulatedNode& node) { return node.m_cell && node.m_cell->m_role == cell::Role::Leading && node.m_cell->m_term > m_endedTerm; });
    if (m_leaderEndedAt && !m_result.m_newLeaderMs && isSuccessorLeading)
        m_result.m_newLeaderMs = m_now - *m_leaderEndedAt;
    observeJoiningVm();
    if (m_hasDoubleTerm || m_now >= m_workersCutUntil)
        return;
    const auto leaders = std::count_if(m_nodes.begin(), m_nodes.end(), [](const SimulatedNode& node) { return node.m_cell && node.m_cell->m_role == cell::Role::Leading && !node.m_cell->m_isAwaitingConfirmation; });
    if (leaders < 2)
        return;
    m_hasDoubleTerm = true;
    ++m_result.m_doubleTerms;
}

} // namespace bulrushloft::test
