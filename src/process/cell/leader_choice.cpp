/** @file leader_choice.cpp Strength and order of VMs that could lead. */
#include "process/cell/leader_choice.h"

#include "core/hash_func.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bulrushloft::cell {

namespace {

    constexpr int weakBelow = 15; ///< Percent of a core or Mbit/s.
    constexpr Duration weakDelay { 1'000 };

    /** The least leads first. */
    std::pair<int, std::uint64_t> weightOf(const PeerMember& member, std::uint64_t formerToken)
    {
        return { -member.m_strength, stableHash(member.m_name + std::to_string(formerToken)) };
    }

} // namespace

int strengthOf(double cpuShare, double linkMbps)
{
    constexpr double percent = 100;
    constexpr double most = 1'000'000;
    return static_cast<int>(std::min({ cpuShare * percent, linkMbps, most }));
}

bool isWeak(const PeerMember& member)
{
    return member.m_strength < weakBelow;
}

std::int64_t rankOf(const PeerMember& self, const std::vector<PeerMember>& others, std::uint64_t formerToken)
{
    const auto own = weightOf(self, formerToken);
    return std::count_if(others.begin(), others.end(), [&](const PeerMember& other) { return weightOf(other, formerToken) < own; });
}

void sortByRank(std::vector<PeerMember>& members, std::uint64_t formerToken)
{
    std::sort(members.begin(), members.end(), [&](const PeerMember& one, const PeerMember& other) { return weightOf(one, formerToken) < weightOf(other, formerToken); });
}

FollowerPace paceOf(std::int64_t rank, const FollowerPace& quick)
{
    return rank < static_cast<std::int64_t>(quickFollowers) ? quick : slowPace;
}

std::int64_t patienceAfter(Duration lastTerm, std::int64_t patience)
{
    constexpr Duration shortTerm { 5'000 };
    constexpr std::int64_t mostPatience = 4;
    return lastTerm < shortTerm ? std::min(patience * 2, mostPatience) : 1;
}

Duration delayOfWeak(const PeerMember& self, const std::vector<PeerMember>& others)
{
    const bool mayBeStronger = others.empty() || !std::all_of(others.begin(), others.end(), isWeak);
    return isWeak(self) && mayBeStronger ? weakDelay : Duration {};
}

} // namespace bulrushloft::cell
