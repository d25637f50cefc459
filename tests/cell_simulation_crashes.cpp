/** @file cell_simulation_crashes.cpp Crashes of simulated workers in series, some behind a cut. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

namespace {

    constexpr std::int64_t removalTime = 3 * heartbeat.m_ms; // The platform removes an announcement after three heartbeat intervals of silence.

} // namespace

void CellSimulation::scheduleCrashSeries()
{
    const WorkerCrashSeries& series = m_options.m_crashSeries;
    for (int i = 0; i < series.m_count; ++i)
        schedule(m_loadStart - m_now + series.m_start.m_ms + i * series.m_interval.m_ms, [this] { crashShare(); });
}

void CellSimulation::crashShare()
{
    const WorkerCrashSeries& series = m_options.m_crashSeries;
    const std::int64_t cutMs = series.m_cutLength.m_ms;
    for (FakeLeaseWorker& worker : m_workers) {
        if (!randomBool(series.m_share) || worker.m_isDown || worker.m_isUnreachable)
            continue;
        if (cutMs == 0) {
            crashInSeries(worker);
            continue;
        }
        worker.m_isUnreachable = true;
        schedule(randomBetween(0, cutMs - series.m_downTime.m_ms - 1), [this, &worker] { crashInSeries(worker); });
        schedule(cutMs, [&worker] { worker.m_isUnreachable = false; });
    }
}

void CellSimulation::crashInSeries(FakeLeaseWorker& worker)
{
    const WorkerCrashSeries& series = m_options.m_crashSeries;
    ++m_result.m_crashes;
    m_result.m_crashedAttempts += static_cast<int>(worker.m_running.size());
    worker.m_isDark = series.m_darkShare > 0 && randomBool(series.m_darkShare);
    crashWorker(worker);
    // An announcement doesn't pass the cut.
    const std::int64_t longestDelay = series.m_cutLength.m_ms;
    schedule(series.m_downTime.m_ms, [this, &worker, longestDelay] { restartInSeries(worker, longestDelay); });
}

void CellSimulation::restartInSeries(FakeLeaseWorker& worker, std::int64_t announceDelay)
{
    const std::string oldId = worker.m_id;
    worker.restart(m_now);
    worker.m_isDark = false;
    if (m_options.m_crashSeries.m_isRenamed) {
        worker.rename();
        schedule(removalTime, [this, oldId] {
            m_store.append({ .m_partition = { .m_topic = "workers" }, .m_records = { { .m_key = oldId, .m_value = {} } }, .m_writer = {}, .m_expectedEnd = {} });
        });
    }
    schedule(announceDelay, [this, &worker] {
        if (!worker.m_isDown)
            announce(worker);
    });
}

} // namespace bulrushloft::test
