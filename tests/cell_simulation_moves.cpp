/** @file cell_simulation_moves.cpp Versions of a simulation's configuration that send queues to another pool, and the check of where their tasks start. */
#include "cell_simulation_base.h"

#include <sstream>

namespace bulrushloft::test {

namespace {

    constexpr std::int64_t applyLimit = 3'000; ///< Time in ms in which a new version is in force.
    constexpr char removedMark = '-'; ///< In place of the number of the pool of a queue that a version does not name.

    std::string poolOf(char mark)
    {
        return mark == '1' ? "other" : "pool";
    }

} // namespace

std::string CellSimulation::poolOfWorker(const std::string& id) const
{
    const bool isOther = m_options.m_queueMoves.m_count > 0 && std::stoi(id.substr(1)) % 2 == 1;
    return poolOf(isOther ? '1' : '0');
}

std::string CellSimulation::poolOfQueue(const SimulatedQueue& queue) const
{
    if (m_poolMarks.empty())
        return poolOf('0');
    const auto position = static_cast<std::size_t>(&queue - m_queues.data());
    const auto named = std::find_if(m_poolMarks.rbegin(), m_poolMarks.rend(), [&](const PoolMarks& each) { return each.m_text[position] != removedMark; });
    return poolOf(named->m_text[position]);
}

void CellSimulation::applyPools(ClusterSettings& settings, const std::string& text) const
{
    if (m_poolMarks.empty())
        return;
    std::istringstream fields(text);
    std::string version;
    std::string marks;
    fields >> version >> marks;
    std::vector<QueueSettings> queues;
    for (std::size_t i = 0; i < settings.m_queues.size(); ++i) {
        if (marks.at(i) == removedMark)
            continue;
        queues.push_back(settings.m_queues[i]);
        queues.back().m_pool = poolOf(marks[i]);
    }
    settings.m_queues = std::move(queues);
    settings.m_pools = { { .m_name = poolOf('0') }, { .m_name = poolOf('1') } };
}

void CellSimulation::storePools(const std::string& marks)
{
    m_poolMarks.push_back({ .m_at = m_now, .m_text = marks });
    m_configChanges.push_back(m_now);
    ++m_configVersion;
    m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = configKey, .m_value = configText() } }, .m_writer = {}, .m_expectedEnd = {} });
}

void CellSimulation::scheduleQueueMoves()
{
    const QueueMoves& moves = m_options.m_queueMoves;
    for (int i = 0; i < moves.m_count; ++i)
        schedule(m_loadStart - m_now + (moves.m_first + moves.m_interval * i).m_ms, [this] { moveQueues(); });
}

void CellSimulation::moveQueues()
{
    const QueueMoves& moves = m_options.m_queueMoves;
    std::string marks = m_poolMarks.back().m_text;
    std::string removed = marks;
    const auto first = static_cast<std::size_t>(randomBetween(0, static_cast<std::int64_t>(marks.size()) - 1));
    for (std::size_t i = 0; i < marks.size(); ++i) {
        if (marks[i] == removedMark || (i != first && randomBool(0.5)))
            continue;
        marks[i] = marks[i] == '0' ? '1' : '0';
        removed[i] = removedMark;
    }
    const std::string formerPool = poolOfQueue(m_queues[first]);
    const bool isRemovedFirst = moves.m_removal.m_ms > 0 && randomBool(moves.m_removalShare);
    if (isRemovedFirst)
        storePools(removed);
    if (isRemovedFirst)
        schedule(moves.m_removal.m_ms, [this, marks] { storePools(marks); });
    else
        storePools(marks);
    if (moves.m_emptied.m_ms > 0)
        schedule(randomBetween(100, 1'500), [this, formerPool] { emptyPool(formerPool); });
}

void CellSimulation::emptyPool(const std::string& pool)
{
    constexpr std::int64_t calmTime = 4'000; // The platform counts a standstill of 3 s after so long a calm only.
    m_disruptedUntil = std::max(m_disruptedUntil, m_now + calmTime - contactTime.m_ms);
    for (FakeLeaseWorker& worker : m_workers) {
        if (poolOfWorker(worker.m_id) != pool || worker.m_isDown)
            continue;
        crashWorker(worker);
        schedule(m_options.m_queueMoves.m_emptied.m_ms, [this, &worker] {
            worker.restart(m_now);
            announce(worker);
        });
    }
}

void CellSimulation::checkRoute(const FakeLeaseWorker& worker, const TaskName& task, const std::string& attemptName)
{
    if (m_poolMarks.empty())
        return;
    const auto position = static_cast<std::size_t>(jobOf(task).m_queue - m_queues.data());
    const std::string pool = poolOfWorker(worker.m_id);
    bool isNamed = false;
    bool isNamedLately = false;
    char latest = removedMark; // The pool that counts after each version: that of the latest one with the queue.
    for (std::size_t i = 0; i < m_poolMarks.size(); ++i) {
        const char mark = m_poolMarks[i].m_text[position];
        latest = mark == removedMark ? latest : mark;
        const bool isHere = poolOf(latest) == pool;
        const std::int64_t until = i + 1 < m_poolMarks.size() ? m_poolMarks[i + 1].m_at : m_now;
        isNamed = isNamed || isHere;
        isNamedLately = isNamedLately || (isHere && until >= m_now - applyLimit);
    }
    if (!isNamed)
        reportViolation("ROUTE: " + attemptName + " is in pool " + pool + ", to which no version sends its queue");
    else if (m_options.m_queueMoves.m_isCalm && !isNamedLately)
        reportViolation("CONFIG: " + attemptName + " started in pool " + pool + " later than " + std::to_string(applyLimit) + " ms after its queue was sent to another");
}

} // namespace bulrushloft::test
