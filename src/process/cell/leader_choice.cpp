/** @file leader_choice.cpp Strength and ranking of the VMs that could lead. */
#include "process/cell/leader_choice.h"

#include "core/hash_func.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bulrushloft::cell {

namespace {

    constexpr int weakThreshold = 15; ///< A VM of a lower strength, in percent of a core or Mbit/s, is weak.
    constexpr Duration weakVmClaimDelay { 1'000 };

    /** @return Sort key of a candidate; the smallest is preferred. */
    std::pair<int, std::uint64_t> sortKeyOf(const PeerMember& member, std::uint64_t previousToken)
    {
        return { -member.m_strength, stableHash(member.m_name + std::to_string(previousToken)) };
    }

} // namespace

int strengthOf(double cpuShare, double linkMbps)
{
    constexpr double percent = 100;
    constexpr double maxStrength = 1'000'000;
    return static_cast<int>(std::min({ cpuShare * percent, linkMbps, maxStrength }));
}

bool isWeak(const PeerMember& member)
{
    return member.m_strength < weakThreshold;
}

bool isMuchStronger(const PeerMember& other, const PeerMember& leader)
{
    constexpr int multiple = 2; // A takeover delays all tasks by up to some seconds, so a small advantage does not justify it.
    return other.m_strength >= multiple * leader.m_strength || (isWeak(leader) && !isWeak(other));
}

std::int64_t rankOf(const PeerMember& self, const std::vector<PeerMember>& others, std::uint64_t previousToken)
{
    const auto own = sortKeyOf(self, previousToken);
    return std::count_if(others.begin(), others.end(), [&](const PeerMember& other) { return sortKeyOf(other, previousToken) < own; });
}

void sortByRank(std::vector<PeerMember>& members, std::uint64_t previousToken)
{
    std::sort(members.begin(), members.end(), [&](const PeerMember& one, const PeerMember& other) { return sortKeyOf(one, previousToken) < sortKeyOf(other, previousToken); });
}

HeartbeatTiming timingOf(std::int64_t rank, const HeartbeatTiming& fast)
{
    return rank < static_cast<std::int64_t>(fastFollowerCount) ? fast : slowTiming;
}

std::int64_t suspicionFactorAfter(Duration lastTerm, std::int64_t previousFactor)
{
    constexpr Duration shortTermLimit { 5'000 };
    constexpr std::int64_t maxFactor = 4;
    return lastTerm < shortTermLimit ? std::min(previousFactor * 2, maxFactor) : 1;
}

Duration claimDelayOf(const PeerMember& self, const std::vector<PeerMember>& others)
{
    const bool isStrongerPeerPossible = others.empty() || !std::all_of(others.begin(), others.end(), isWeak);
    return isWeak(self) && isStrongerPeerPossible ? weakVmClaimDelay : Duration {};
}

} // namespace bulrushloft::cell
