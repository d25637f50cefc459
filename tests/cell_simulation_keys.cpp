/** @file cell_simulation_keys.cpp Customers of a simulation whose keys the operator replaces, and calls that show which keys are accepted. */
#include "cell_simulation_base.h"

#include <sstream>

namespace bulrushloft::test {

namespace {

    constexpr std::int64_t keyCallInterval = 40; // Time between two calls with keys, in ms.
    constexpr std::int64_t calmTime = 4'000; // A simulation without disruption for so long, in ms, must accept valid keys.
    constexpr Duration applyLimit { 3'000 }; ///< Time in which each connected VM accepts a new key.
    constexpr std::size_t remembered = 4; // Calls use the latest keys that were removed.
    constexpr const char* unreadableText = "x";

} // namespace

std::string CellSimulation::configText() const
{
    std::string text = std::to_string(m_configVersion);
    if (!m_poolMarks.empty())
        text += " " + m_poolMarks.back().m_text;
    for (const SimulatedKey& key : m_keys)
        text += key.m_removedAt ? std::string() : " " + std::to_string(key.m_customer) + " " + key.m_text;
    return text;
}

cell::OperatorRecord CellSimulation::decodeConfig(const std::string& text) const
{
    if (text == unreadableText)
        return cell::UnreadableCluster {};
    ClusterSettings settings = makeSettings(m_queues);
    std::istringstream fields(text);
    fields >> settings.m_version;
    applyPools(settings, text);
    for (std::string customer, key; m_poolMarks.empty() && fields >> customer >> key;)
        settings.m_customers.push_back({ .m_name = "c" + customer, .m_keys = { key }, .m_weight = 1, .m_cap = {} });
    settings.m_requiresKeys = !settings.m_customers.empty();
    return settings;
}

void CellSimulation::scheduleKeyChanges()
{
    if (m_keys.empty())
        return;
    const KeyChanges& changes = m_options.m_keyChanges;
    for (std::int64_t at = m_loadStart; at < m_loadEnd; at += keyRandom(1, 2 * changes.m_interval.m_ms))
        schedule(at - m_now, [this] { changeKeys(); });
    for (std::int64_t at = m_loadStart; at < m_loadEnd + m_options.m_recoveryDuration.m_ms; at += keyCallInterval)
        schedule(at - m_now, [this] { sendKeyCall(); });
    constexpr std::int64_t longestSuspension = 9'000;
    for (int i = 0; i < changes.m_suspensions; ++i) {
        schedule(m_loadStart - m_now + keyRandom(0, m_options.m_loadDuration.m_ms), [this] {
            SimulatedNode& node = m_nodes[static_cast<std::size_t>(keyRandom(0, m_options.m_nodes - 1))];
            node.m_suspendedUntil = m_now + keyRandom(700, longestSuspension);
            m_disruptedUntil = std::max(m_disruptedUntil, node.m_suspendedUntil);
        });
    }
}

void CellSimulation::changeKeys()
{
    if (m_unreadableSince)
        return;
    const bool isUnreadable = std::uniform_real_distribution<double>(0, 1)(m_keyRandom) < m_options.m_keyChanges.m_unreadableShare;
    if (!isUnreadable)
        return replaceKey();
    constexpr std::int64_t longestTime = 12'000;
    m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = configKey, .m_value = unreadableText } }, .m_writer = {}, .m_expectedEnd = {} });
    m_unreadableSince = m_now;
    schedule(keyRandom(500, longestTime), [this] { replaceKey(); });
}

void CellSimulation::replaceKey()
{
    const auto customer = static_cast<int>(keyRandom(1, m_options.m_keyChanges.m_customers - 1));
    for (SimulatedKey& key : m_keys) {
        if (key.m_customer == customer && !key.m_removedAt)
            key.m_removedAt = m_now;
    }
    ++m_configVersion;
    m_keys.push_back({ .m_customer = customer, .m_text = "k" + std::to_string(customer) + "-" + std::to_string(m_configVersion), .m_addedAt = m_now, .m_removedAt = {} });
    m_store.append({ .m_partition = { .m_topic = "op" }, .m_records = { { .m_key = configKey, .m_value = configText() } }, .m_writer = {}, .m_expectedEnd = {} });
    m_unreadableSince.reset();
    m_latestConfigAt = m_now;
}

void CellSimulation::sendKeyCall()
{
    std::vector<std::size_t> valid;
    std::vector<std::size_t> removed;
    for (std::size_t i = 0; i < m_keys.size(); ++i)
        (m_keys[i].m_removedAt ? removed : valid).push_back(i);
    if (removed.size() > remembered)
        removed.erase(removed.begin(), removed.end() - remembered);
    const std::vector<std::size_t>& pool = !removed.empty() && keyRandom(0, 1) == 0 ? removed : valid;
    const std::size_t index = pool[static_cast<std::size_t>(keyRandom(0, static_cast<std::int64_t>(pool.size()) - 1))];
    SimulatedNode& node = m_nodes[static_cast<std::size_t>(keyRandom(0, m_options.m_nodes - 1))];
    if (!node.m_cell)
        return;
    // A call of no method is answered at once, as invalid if its key is accepted.
    const ClientCall call { .m_verb = ClientVerb::Unknown, .m_host = "h", .m_path = "/" + m_queues.front().m_name + "/1", .m_body = {}, .m_key = m_keys[index].m_text, .m_arrivedAt = { steadyTimeOf(node) }, .m_deadline = { steadyTimeOf(node) + clientTimeout.m_ms } };
    deliverLater(node, node.m_isAlive, 1, [this, &node, call, index, sentAt = m_now] {
        onClientCall(*node.m_cell, call, [this, &node, index, sentAt](const ClientReply& reply) { checkKeyCall(node, index, sentAt, reply.m_status == ClientStatus::Invalid); });
    });
}

void CellSimulation::checkKeyCall(const SimulatedNode& node, std::size_t keyIndex, std::int64_t sentAt, bool hasPassed)
{
    const SimulatedKey& key = m_keys[keyIndex];
    const std::int64_t limit = m_options.m_keyChanges.m_limit.m_ms;
    const bool isLate = key.m_removedAt && sentAt > *key.m_removedAt + limit;
    const bool isUnreadableLate = m_unreadableSince && sentAt > *m_unreadableSince + limit;
    m_result.m_removedKeyCalls += isLate ? 1 : 0;
    m_result.m_keyCalls += key.m_removedAt ? 0 : 1;
    m_result.m_keyCallsPassed += !key.m_removedAt && hasPassed ? 1 : 0;
    m_result.m_graceCallsPassed += key.m_removedAt && !isLate && hasPassed ? 1 : 0;
    if (hasPassed && isLate)
        reportViolation("KEY: " + node.m_name + " accepted " + key.m_text + ", sent " + std::to_string(sentAt - *key.m_removedAt) + " ms after its removal");
    if (hasPassed && isUnreadableLate)
        reportViolation("KEY: " + node.m_name + " accepted " + key.m_text + ", sent " + std::to_string(sentAt - *m_unreadableSince) + " ms after a record that can't be decoded");
    const bool isCalm = m_options.m_faults == 0 && !m_unreadableSince && m_now >= m_disruptedUntil + calmTime && m_now >= node.m_downUntil + calmTime;
    if (!hasPassed && !key.m_removedAt && isCalm && sentAt >= key.m_addedAt + applyLimit.m_ms && sentAt >= m_latestConfigAt + applyLimit.m_ms)
        reportViolation("KEY: " + node.m_name + " refused the valid key " + key.m_text + ", added " + std::to_string(sentAt - key.m_addedAt) + " ms before");
}

} // namespace bulrushloft::test
