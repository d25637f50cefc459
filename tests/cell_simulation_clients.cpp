/** @file cell_simulation_clients.cpp Submissions, cancellations and queries of the simulated clients. */
#include "cell_simulation_base.h"

namespace bulrushloft::test {

using scheduler::JobStage;

void CellSimulation::submit(std::size_t index)
{
    ClientJob& job = m_jobs[index];
    if (job.m_isAccepted || ++job.m_tries > maxClientTries)
        return;
    SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
    const auto retry = [this, index] { schedule(clientRetryDelay.m_ms, [this, index] { submit(index); }); };
    if (!node.m_cell)
        return retry();
    const ClientCall call { .m_verb = ClientVerb::Submit, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = std::to_string(1 + index % 3) + std::to_string(1 + index % 6), .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
    auto isAnswered = std::make_shared<bool>(false);
    schedule(clientTimeout.m_ms, [this, index, isAnswered, retry] {
        if (std::exchange(*isAnswered, true))
            return;
        m_jobs[index].m_mayBeAccepted = true;
        retry();
    });
    deliverLater(node, node.m_isAlive, 1, [this, &node, call, index, isAnswered, retry] {
        onClientCall(*node.m_cell, call, [this, index, isAnswered, retry](const ClientReply& reply) {
            if (reply.m_status != ClientStatus::NotDone)
                m_jobs[index].m_mayBeAccepted = true;
            if (reply.m_status == ClientStatus::Accepted && !std::exchange(m_jobs[index].m_isAccepted, true))
                m_jobs[index].m_acceptedAt = m_now;
            if (!std::exchange(*isAnswered, true) && reply.m_status != ClientStatus::Accepted)
                retry();
        });
    });
}

void CellSimulation::cancel(std::size_t index, int tries)
{
    ClientJob& job = m_jobs[index];
    if (!job.m_isAccepted || job.m_cancelAckedAt > 0 || tries > maxClientTries * 4)
        return;
    job.m_isCancelRequested = true;
    schedule(clientRetryDelay.m_ms, [this, index, tries] { cancel(index, tries + 1); });
    SimulatedNode& node = m_nodes[static_cast<std::size_t>(randomBetween(0, m_options.m_nodes - 1))];
    if (!node.m_cell)
        return;
    const ClientCall call { .m_verb = ClientVerb::Cancel, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = {}, .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
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
    const ClientCall call { .m_verb = ClientVerb::Query, .m_host = "h", .m_path = "/q/" + job.m_id, .m_body = {}, .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
    deliverLater(node, node.m_isAlive, 1, [this, &node, call, index] {
        onClientCall(*node.m_cell, call, [this, index](const ClientReply& reply) {
            ClientJob& queriedJob = m_jobs[index];
            const bool mustBeVisible = m_now - queriedJob.m_acceptedAt > maxVisibilityDelay.m_ms;
            if (reply.m_status == ClientStatus::NoSuchJob && mustBeVisible && !queriedJob.m_isCancelRequested)
                reportViolation("LOST: job " + queriedJob.m_id + " is reported as unknown after it was accepted");
            const auto stage = static_cast<JobStage>(reply.m_stage);
            if (reply.m_status != ClientStatus::Known)
                return;
            if (stage == JobStage::Complete)
                queriedJob.m_isComplete = true;
            if (stage == JobStage::Failed || (stage == JobStage::Cancelled && !queriedJob.m_isCancelRequested))
                reportViolation("LOST: job " + queriedJob.m_id + " is reported as failed, or as cancelled although its client sent no cancellation");
        });
    });
}

} // namespace bulrushloft::test
