/** @file cell_config_copy.cpp Writes copies of the configuration, and reads them when a daemon without one gets no answer from the operator's topic. */
#include "core/log_func.h"
#include "process/cell/cell_detail.h"

#include <algorithm>

namespace bulrushloft::cell::detail {

namespace {

    constexpr const char* copyWriterName = "config"; ///< Writer name of all daemons in the topic of copies; versions serve as its epochs.
    constexpr Duration callTimeout { 4'000 }; ///< A configuration of 256 KB may take long on a slow link.
    constexpr Duration retryDelay { 1'000 };
    constexpr Duration operatorPatience { 1'000 }; ///< Without an answer of the operator's topic for so long, a daemon that has no configuration reads the copies.
    constexpr Duration otherCopiesPatience { 300 }; ///< How long it then waits for the other copies, which may be newer.

    StorePartition copyPartition(const CellNode& node, std::size_t index)
    {
        return { .m_topic = node.m_options.m_topics.m_config, .m_partition = static_cast<std::uint32_t>(index) };
    }

    /**
     * @return An append of the configuration in force. The version is the writer's epoch and each epoch has one append only: whichever daemon
     * sends it and however often, the store keeps one record of a version, and none after that of a later one.
     */
    StoreAppend makeCopy(const CellNode& node, std::size_t index)
    {
        constexpr std::uint64_t onlySequence = 1;
        const std::size_t separator = node.m_clusterText.find('\n');
        return { .m_partition = copyPartition(node, index),
            .m_records = { { .m_key = node.m_clusterText.substr(0, separator), .m_value = node.m_clusterText.substr(separator + 1) } },
            .m_writer = FencedWriter { .m_name = copyWriterName, .m_epoch = node.m_cluster->m_version, .m_sequence = onlySequence },
            .m_expectedEnd = {} };
    }

    void onCopyAnswered(CellNode& node, std::size_t index, std::uint64_t version, TimePoint sentAt, const StoreAppendAnswer& answer)
    {
        ConfigCopy& copy = node.m_configCopies.m_copies[index];
        const bool isNewerStored = answer.m_status == StoreStatus::Fenced;
        const bool isStored = answer.m_status == StoreStatus::Done || isNewerStored;
        updateStoreReachability(node, isStored);
        endCall(copy.m_write, isStored ? node.m_now : node.m_now + retryDelay);
        logEvent(isStored ? LogLevel::Info : LogLevel::Warning, "config-copied", { { "version", version }, { "partition", index }, { "is_stored", isStored }, { "is_newer_stored", isNewerStored }, { "took_ms", (node.m_now - sentAt).m_ms }, { "reason", answer.m_reason } });
        if (isStored)
            copy.m_storedVersion = std::max(copy.m_storedVersion, version);
    }

    /** @return Whether an append of a copy must wait for others, so that the link has room for heartbeats: 256 KB take 0.2 s at 10 Mbit/s. */
    bool isWriteHeldBack(const CellNode& node)
    {
        constexpr std::size_t largeText = 65'536; // Bytes.
        const auto& copies = node.m_configCopies.m_copies;
        return node.m_clusterText.size() > largeText && std::any_of(copies.begin(), copies.end(), [](const ConfigCopy& copy) { return copy.m_write.m_inFlight > 0; });
    }

    /** Writes one copy, one append at a time: the next one holds the version that is the newest by then. */
    void writeCopy(CellNode& node, std::size_t index)
    {
        ConfigCopy& copy = node.m_configCopies.m_copies[index];
        const std::uint64_t version = configVersionOf(node);
        if (copy.m_storedVersion >= version || copy.m_write.m_inFlight > 0 || node.m_now < copy.m_write.m_notBefore || isWriteHeldBack(node))
            return;
        beginAttempt(copy.m_write, node.m_now);
        sendAppend(node, makeCopy(node, index), callTimeout, [&node, index, version, sentAt = node.m_now](const StoreAppendAnswer& answer) { onCopyAnswered(node, index, version, sentAt, answer); });
    }

    /** @return Whether this daemon has no configuration and the operator's topic has answered nothing; an empty answer is one, too. */
    bool isOperatorUnanswered(const CellNode& node)
    {
        return !node.m_cluster && node.m_operatorTail.m_answeredAt == TimePoint {};
    }

    void onCopyListed(CellNode& node, std::size_t index, const StoreNewestAnswer& answer)
    {
        ConfigCopies& copies = node.m_configCopies;
        ConfigCopy& copy = copies.m_copies[index];
        if (answer.m_status != StoreStatus::Done)
            return failAttempt(copy.m_read, node.m_now + retryDelay);
        endCall(copy.m_read, node.m_now + retryDelay);
        copy.m_isRead = true;
        copy.m_text.clear();
        if (!answer.m_records.empty())
            copy.m_text = answer.m_records.front().m_key + '\n' + answer.m_records.front().m_value;
        if (!copies.m_firstReadAt)
            copies.m_firstReadAt = node.m_now;
    }

    void readCopy(CellNode& node, std::size_t index)
    {
        ConfigCopy& copy = node.m_configCopies.m_copies[index];
        constexpr std::uint32_t maxInFlight = 2; // The whole store may be silent, as the claims are the only other topic that such a daemon reads.
        if (!isAttemptDue(copy.m_read, storeHedgeDelay(node, copy.m_read.m_lastAttemptAt), node.m_now, maxInFlight))
            return;
        const std::uint64_t callNumber = beginAttempt(copy.m_read, node.m_now);
        sendListing(node, { .m_partition = copyPartition(node, index), .m_after = {} }, callTimeout, [&node, index, callNumber](const StoreNewestAnswer& answer) {
            updateStoreReachability(node, answer.m_status == StoreStatus::Done);
            if (isAnswerToCall(node.m_configCopies.m_copies[index].m_read, callNumber))
                onCopyListed(node, index, answer);
        });
    }

    /** Puts the newest copy into force once all are read, or one is and others are late. An older one never replaces a newer one, see applyClusterText(). */
    void applyCopies(CellNode& node)
    {
        const ConfigCopies& copies = node.m_configCopies;
        const bool areAllRead = std::all_of(copies.m_copies.begin(), copies.m_copies.end(), [](const ConfigCopy& copy) { return copy.m_isRead; });
        if (!areAllRead && (!copies.m_firstReadAt || node.m_now - *copies.m_firstReadAt < otherCopiesPatience))
            return;
        for (const ConfigCopy& copy : copies.m_copies)
            applyClusterText(node, copy.m_text, "copy");
    }

    /** Reads the copies while the operator's topic answers nothing. What it answers takes precedence, so no copy is used from then on. */
    void stepCopyReading(CellNode& node)
    {
        ConfigCopies& copies = node.m_configCopies;
        if (!isOperatorUnanswered(node))
            return;
        if (!copies.m_waitingSince)
            copies.m_waitingSince = node.m_now;
        if (node.m_now - *copies.m_waitingSince < operatorPatience)
            return;
        for (std::size_t index = 0; index < copies.m_copies.size(); ++index)
            readCopy(node, index);
        applyCopies(node);
    }

} // namespace

void stepConfigCopies(CellNode& node)
{
    stepCopyReading(node);
    const bool isLeader = node.m_role == Role::Leading || node.m_role == Role::Loading;
    if (!isLeader || !node.m_cluster)
        return;
    for (std::size_t index = 0; index < node.m_configCopies.m_copies.size(); ++index)
        writeCopy(node, index);
}

} // namespace bulrushloft::cell::detail
