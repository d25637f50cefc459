/** @file config_freshness.cpp Whether a daemon's configuration is known to be current. */
#include "process/cell/config_freshness.h"

#include <algorithm>

namespace bulrushloft::cell {

namespace {

    constexpr std::int64_t driftPercent = 2; ///< A clock may run slower than that of the operator by this share.
    constexpr Duration margin { 100 };
    constexpr Duration questionInterval { 200 };

    void noteKnown(ConfigFreshness& freshness, TimePoint knownAt)
    {
        freshness.m_knownAt = std::max(freshness.m_knownAt.value_or(knownAt), knownAt);
    }

} // namespace

void noteConfigRead(ConfigFreshness& freshness, TimePoint askedAt)
{
    if (!freshness.m_isNewestUnreadable)
        noteKnown(freshness, askedAt);
}

void notePeerEvidence(ConfigFreshness& freshness, std::uint64_t version, std::uint64_t ownVersion, TimePoint askedAt, Duration age)
{
    const TimePoint knownAt = askedAt - age;
    const bool isUsable = age.m_ms >= 0 && version > 0 && version > freshness.m_voidedVersion && version >= ownVersion;
    if (!isUsable)
        return;
    if (version == ownVersion)
        return noteKnown(freshness, knownAt);
    if (version < freshness.m_newerVersion)
        return;
    freshness.m_newerKnownAt = version > freshness.m_newerVersion ? knownAt : std::max(freshness.m_newerKnownAt, knownAt);
    freshness.m_newerVersion = version;
}

void onConfigInForce(ConfigFreshness& freshness, std::uint64_t version)
{
    if (freshness.m_newerVersion == 0 || freshness.m_newerVersion > version)
        return;
    if (freshness.m_newerVersion > freshness.m_voidedVersion)
        noteKnown(freshness, freshness.m_newerKnownAt);
    freshness.m_newerVersion = 0;
}

void onConfigUnreadable(ConfigFreshness& freshness, std::uint64_t ownVersion)
{
    freshness.m_isNewestUnreadable = true;
    freshness.m_voidedVersion = std::max(freshness.m_voidedVersion, ownVersion);
    freshness.m_knownAt.reset();
}

void onConfigReadable(ConfigFreshness& freshness)
{
    freshness.m_isNewestUnreadable = false;
    freshness.m_voidedVersion = 0;
}

Duration acceptanceTime(Duration revocation)
{
    return revocation * (100 - driftPercent) / 100 - margin;
}

bool isConfigCurrent(const ConfigFreshness& freshness, Duration revocation, TimePoint now)
{
    return freshness.m_knownAt && now - *freshness.m_knownAt < acceptanceTime(revocation);
}

std::optional<Duration> configAge(const ConfigFreshness& freshness, TimePoint now)
{
    return freshness.m_knownAt ? std::optional(now - *freshness.m_knownAt) : std::nullopt;
}

bool takeQuestion(ConfigFreshness& freshness, Duration revocation, TimePoint now)
{
    const bool isDue = now >= freshness.m_nextQuestionAt && (!freshness.m_knownAt || now - *freshness.m_knownAt >= acceptanceTime(revocation) / 2);
    if (isDue)
        freshness.m_nextQuestionAt = now + questionInterval;
    return isDue;
}

} // namespace bulrushloft::cell
