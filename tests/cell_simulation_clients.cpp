/** @file cell_simulation_clients.cpp Submissions, cancellations and queries of the simulated clients. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

using scheduler::JobStage;

void CellSimulation::addJob(std::int64_t submitDelay)
{
    const std::size_t index = m_jobs.size();
    ClientJob job;
    job.m_id = std::to_string(1'000'000'000'000'000ULL + index);
    m_jobById[job.m_id] = index;
    job.m_body = std::to_string(1 + index % 3) + std::to_string(1 + index % 6) + "0";
    if (m_options.m_needsApprovals)
        chooseBody(job);
    job.m_queue = &m_queues.at(static_cast<std::size_t>(job.m_body[2] - '0'));
    job.m_plan = makePlan(m_queues, job.m_body);
    const int customers = m_options.m_caps.m_customers;
    constexpr std::size_t anonymousDivisor = 5;
    if (customers > 0 && index % anonymousDivisor != 0)
        job.m_body += std::to_string(index / 3 % static_cast<std::size_t>(customers)); // Jobs of all numbers of steps, which depend on the index.
    m_jobs.push_back(job);
    schedule(submitDelay, [this, index] { submit(index); });
    if (randomBool(0.1))
        schedule(submitDelay + randomBetween(100, 3'000), [this, index] { cancel(index, 0); });
}

void CellSimulation::chooseBody(ClientJob& job)
{
    int weights = 0;
    for (const SimulatedQueue& queue : m_queues)
        weights += queue.m_weight;
    std::size_t index = 0;
    for (std::int64_t draw = randomBetween(0, weights - 1); draw >= m_queues[index].m_weight; ++index)
        draw -= m_queues[index].m_weight;
    job.m_queue = &m_queues[index];
    const std::int64_t steps = randomBetween(1, job.m_queue->m_maxSteps);
    for (std::int64_t width = randomBetween(1, job.m_queue->m_maxWidth); width > 0; --width) {
        job.m_body = std::to_string(steps) + std::to_string(width) + std::to_string(index);
        job.m_plan = makePlan(m_queues, job.m_body);
        bool fits = true;
        for (std::uint32_t step = 0; step < steps; ++step)
            fits = fits && fitsEverywhere(job, step, 2 * width);
        if (fits)
            return;
    }
    job.m_body = "110"; // Too few workers are approved; a task of the first queue takes its place.
}

std::string CellSimulation::keyOf(const ClientJob& job) const
{
    if (m_options.m_customerWeight > 0)
        return simulatedKey;
    return m_options.m_caps.m_customers > 0 ? customerOf(job.m_body) : jobKey();
}

void CellSimulation::submit(std::size_t index)
{
    ClientJob& job = m_jobs[index];
    if (job.m_isAccepted || ++job.m_tries > m_options.m_maxTries)
        return;
    if (job.m_firstSentAt == 0)
        job.m_firstSentAt = m_now;
    SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
    const auto retry = [this, index] { schedule(clientRetryDelay.m_ms, [this, index] { submit(index); }); };
    if (!node.m_cell)
        return retry();
    const ClientCall call { .m_verb = ClientVerb::Submit, .m_host = "h", .m_path = "/" + job.m_queue->m_name + "/" + job.m_id, .m_body = job.m_body, .m_key = keyOf(job), .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
    const bool isCounted = soundTime() && m_now >= *soundTime() + callerSettlingTime.m_ms;
    m_result.m_soundSubmissions += isCounted ? 1 : 0;
    const bool isInSilence = isSettledInSilence() && m_mustAcceptInSilence && m_now + clientTimeout.m_ms <= m_silentUntil;
    m_result.m_silentCount += isInSilence ? 1 : 0;
    auto isAnswered = std::make_shared<bool>(false);
    schedule(clientTimeout.m_ms, [this, index, isAnswered, retry] {
        if (std::exchange(*isAnswered, true))
            return;
        m_jobs[index].m_mayBeAccepted = true;
        retry();
    });
    deliverLater(node, node.m_isAlive, 1, [this, &node, call, index, isAnswered, retry, isCounted, isInSilence] {
        onClientCall(*node.m_cell, call, [this, index, isAnswered, retry, isCounted, isInSilence](const ClientReply& reply) {
            m_result.m_overLimit += reply.m_status == ClientStatus::OverLimit ? 1 : 0;
            if (reply.m_status != ClientStatus::NotDone && reply.m_status != ClientStatus::OverLimit)
                m_jobs[index].m_mayBeAccepted = true;
            if (reply.m_status == ClientStatus::Accepted && !std::exchange(m_jobs[index].m_isAccepted, true))
                m_jobs[index].m_acceptedAt = m_now;
            if (std::exchange(*isAnswered, true))
                return;
            m_result.m_silentAccepted += isInSilence && reply.m_status == ClientStatus::Accepted ? 1 : 0;
            m_result.m_soundAccepted += isCounted && reply.m_status == ClientStatus::Accepted ? 1 : 0;
            if (reply.m_status != ClientStatus::Accepted)
                retry();
        });
    });
}

void CellSimulation::cancel(std::size_t index, int tries)
{
    ClientJob& job = m_jobs[index];
    if (!job.m_isAccepted || job.m_cancelAckedAt > 0 || tries > maxCancelTries)
        return;
    job.m_isCancelRequested = true;
    schedule(clientRetryDelay.m_ms, [this, index, tries] { cancel(index, tries + 1); });
    SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
    if (!node.m_cell)
        return;
    const ClientCall call { .m_verb = ClientVerb::Cancel, .m_host = "h", .m_path = "/" + job.m_queue->m_name + "/" + job.m_id, .m_body = {}, .m_key = keyOf(job), .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
    deliverLater(node, node.m_isAlive, 1, [this, &node, call, index] {
        onClientCall(*node.m_cell, call, [this, index](const ClientReply& reply) {
            if (reply.m_status == ClientStatus::Cancelled && m_jobs[index].m_cancelAckedAt == 0)
                m_jobs[index].m_cancelAckedAt = m_now;
        });
    });
}

void CellSimulation::queryJob(std::size_t index)
{
    ClientJob& job = m_jobs[index];
    if (job.m_isComplete || !job.m_isAccepted)
        return;
    SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
    if (!node.m_cell)
        return;
    const ClientCall call { .m_verb = ClientVerb::Query, .m_host = "h", .m_path = "/" + job.m_queue->m_name + "/" + job.m_id, .m_body = {}, .m_key = keyOf(job), .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
    deliverLater(node, node.m_isAlive, 1, [this, &node, call, index] {
        onClientCall(*node.m_cell, call, [this, index](const ClientReply& reply) {
            ClientJob& queriedJob = m_jobs[index];
            const bool mustBeVisible = m_now - queriedJob.m_acceptedAt > maxVisibilityDelay.m_ms;
            if (reply.m_status == ClientStatus::NoSuchJob && mustBeVisible && !queriedJob.m_isCancelRequested)
                reportViolation("LOST: job " + queriedJob.m_id + " is reported as unknown after it was accepted");
            const auto stage = static_cast<JobStage>(reply.m_stage);
            if (reply.m_status != ClientStatus::Known)
                return;
            const bool isGivenUp = stage == JobStage::Failed && m_options.m_rackWaves.m_count > 0 && mayBeGivenUp(queriedJob);
            queriedJob.m_isGivenUp = queriedJob.m_isGivenUp || isGivenUp;
            if (stage == JobStage::Complete && !std::exchange(queriedJob.m_isComplete, true))
                queriedJob.m_completeAt = m_now;
            if ((stage == JobStage::Failed && !isGivenUp) || (stage == JobStage::Cancelled && !queriedJob.m_isCancelRequested))
                reportViolation("LOST: job " + queriedJob.m_id + " is reported as failed, or as cancelled although its client sent no cancellation" + describeCrashes(queriedJob));
        });
    });
}

} // namespace bulrushloft::test
