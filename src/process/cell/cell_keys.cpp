/** @file cell_keys.cpp Checks the keys of calls, and whether the configuration that names them is known to be current. */
#include "process/cell/cell_detail.h"

#include <functional>

namespace bulrushloft::cell::detail {

namespace {

    /** @return Addresses of the members to ask in turn: all known ones, and the seeds while none is known. */
    std::vector<Address> membersToAsk(const CellNode& node)
    {
        std::vector<Address> members;
        for (const auto& [name, peer] : node.m_peers)
            members.push_back(peer.m_member.m_address);
        if (!members.empty())
            return members;
        for (const Address& seed : node.m_options.m_seeds) {
            if (seed != node.m_options.m_self.m_address)
                members.push_back(seed);
        }
        return members;
    }

    /** @return Whether the deployment has customers, as far as that is known. */
    bool hasCustomers(const CellNode& node)
    {
        return node.m_options.m_keyRevocation || (node.m_cluster && node.m_cluster->m_requiresKeys);
    }

    /** @return Whether the version in force is known to be current, or keys don't expire. */
    bool isKeyValid(const CellNode& node)
    {
        const auto& revocation = node.m_options.m_keyRevocation;
        return !revocation || isConfigCurrent(node.m_configFreshness, *revocation, node.m_lastBootTime);
    }

} // namespace

void countRefusedCall(CellNode& node, const ClientCall& call, std::string_view cause, const std::string& queue)
{
    if (!hasCustomers(node))
        return;
    const CustomerSettings* const customer = findCustomer(node.m_customers, call.m_key);
    noteRefusedCall(node.m_callRefusals, { .m_customer = customer ? customer->m_name : std::string(), .m_cause = cause, .m_queue = queue }, node.m_now);
}

KeyCheck checkKey(CellNode& node, const ClientCall& call, const QueueSettings& queue)
{
    const bool isKeyNeeded = node.m_cluster->m_requiresKeys && !queue.m_isAnonymous;
    const CustomerSettings* const customer = findCustomer(node.m_customers, call.m_key);
    const bool isValid = isKeyValid(node);
    if (isKeyNeeded && !isValid) {
        countRefusedCall(node, call, "configuration-not-current", queue.m_name);
        return { .m_verdict = KeyCheck::Verdict::NotCurrent, .m_customer = {} };
    }
    if (isKeyNeeded && !customer) {
        countRefusedCall(node, call, call.m_key.empty() ? "no-key" : "unknown-key", queue.m_name);
        return { .m_verdict = KeyCheck::Verdict::UnknownKey, .m_customer = {} };
    }
    return { .m_verdict = KeyCheck::Verdict::Passed, .m_customer = customer && isValid ? customer->m_name : std::string() };
}

void noteConfigAnswer(CellNode& node, const PeerHeartbeatAnswer& answer, TimePoint askedAt)
{
    if (answer.m_configAge && node.m_options.m_keyRevocation)
        notePeerEvidence(node.m_configFreshness, answer.m_configVersion, configVersionOf(node), askedAt, *answer.m_configAge);
}

std::optional<Duration> reportedConfigAge(const CellNode& node)
{
    return node.m_options.m_keyRevocation && node.m_cluster ? configAge(node.m_configFreshness, node.m_lastBootTime) : std::nullopt;
}

void stepConfigQuestions(CellNode& node)
{
    const auto& revocation = node.m_options.m_keyRevocation;
    if (!revocation || !node.m_cluster || !node.m_cluster->m_requiresKeys || !takeQuestion(node.m_configFreshness, *revocation, node.m_lastBootTime))
        return;
    const std::vector<Address> members = membersToAsk(node);
    if (members.empty())
        return;
    // VMs that lose the store at the same time begin with different members.
    const std::size_t first = std::hash<std::string> {}(node.m_options.m_self.m_name);
    callMember(node, members[(first + node.m_configFreshness.m_questionIndex++) % members.size()], [](const PeerHeartbeatAnswer&) { /* Its contents have been taken up. */ });
}

} // namespace bulrushloft::cell::detail
