/** @file config_freshness.h Whether a daemon's configuration is known to be current, so that keys which the operator has removed are refused in time. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>

namespace bulrushloft::cell {

/**
 * Evidence that the configuration in force is the newest one. All times are on the boot-time clock, which goes on during a suspension, and are those at
 * which a question was sent: what was stored later may be missing in its answer.
 *
 * Versions are stored in increasing order and the one in force never decreases. So if nothing newer than version V was stored at time E, every version
 * that replaces a later one in force is stored after E as well, and the evidence of V also holds for them.
 */
struct ConfigFreshness {
    std::optional<TimePoint> m_knownAt; ///< Latest time at which the version in force is known to have been the newest; empty for none.
    std::uint64_t m_newerVersion = 0; ///< A version that a peer knows to be the newest, and that is not in force here yet; 0 for none.
    TimePoint m_newerKnownAt; ///< The time at which that was known.
    bool m_isNewestUnreadable = false; ///< Whether the latest record of the configuration that was read from the store can't be decoded.
    std::uint64_t m_voidedVersion = 0; ///< Evidence of this and earlier versions no longer counts, as a record that can't be decoded follows them. 0 for none.
    TimePoint m_nextQuestionAt; ///< Earliest time of the next question to a member.
    std::uint32_t m_questionIndex = 0; ///< Index of the next member to ask.
};

/** Notes that a read of the operator's topic has reached its end, with all that it showed in force. @param askedAt When it was sent. */
void noteConfigRead(ConfigFreshness& freshness, TimePoint askedAt);

/**
 * Notes that a peer knows its version to have been the newest.
 * @param version Version of the peer. @param ownVersion Version in force; 0 for none.
 * @param askedAt When the question was sent that the peer has answered. @param age How long before its answer the peer knew it.
 */
void notePeerEvidence(ConfigFreshness& freshness, std::uint64_t version, std::uint64_t ownVersion, TimePoint askedAt, Duration age);

/** Notes that a version has come into force, from wherever it was read. */
void onConfigInForce(ConfigFreshness& freshness, std::uint64_t version);

/** Notes that the store holds a record of the configuration that can't be decoded: it may have removed keys, so evidence ends until a readable one follows. @param ownVersion Version in force. */
void onConfigUnreadable(ConfigFreshness& freshness, std::uint64_t ownVersion);

/** Notes that a record of the configuration was read from the store and is in force. */
void onConfigReadable(ConfigFreshness& freshness);

/**
 * @param revocation Time after which a removed key must not be accepted on any VM.
 * @return How long after the latest evidence keys are accepted: the given time, less 2 % as clocks may differ in rate, less 100 ms for rounding and the time to handle a call.
 */
Duration acceptanceTime(Duration revocation);

/** @return Whether keys may be accepted now. */
bool isConfigCurrent(const ConfigFreshness& freshness, Duration revocation, TimePoint now);

/** @return How long before now the version in force is known to have been the newest; empty for never. */
std::optional<Duration> configAge(const ConfigFreshness& freshness, TimePoint now);

/**
 * Decides whether to ask a member for evidence: half of the time has passed without any from the store or the leader. The other half suffices for
 * ten members; one that has evidence is among them unless most VMs have none.
 * @return Whether to ask the member of m_questionIndex now; notes that it was asked.
 */
bool takeQuestion(ConfigFreshness& freshness, Duration revocation, TimePoint now);

} // namespace bulrushloft::cell
