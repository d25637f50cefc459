/** @file ownership.cpp Names of shards, assignment of racks, keys and calls to shards, and ranking of candidate owners. */
#include "process/owner/ownership_func.h"

#include "connection/caller_type.h"
#include "core/hash_func.h"

#include <algorithm>

namespace bulrushloft {

std::string shardName(const std::string& pool, std::uint32_t index)
{
    return pool + "-" + std::to_string(index);
}

std::string poolOfShard(const std::string& shard)
{
    return shard.substr(0, shard.rfind('-'));
}

std::uint32_t shardIndexForRack(const std::string& rack, std::uint32_t shards)
{
    return shards <= 1 ? 0 : static_cast<std::uint32_t>(stableHash(rack) % shards);
}

std::string shardForKey(const std::string& pool, const std::string& key, std::uint32_t shards)
{
    std::uint32_t best = 0;
    std::uint64_t bestWeight = 0;
    for (std::uint32_t index = 0; index < shards; ++index) {
        const std::uint64_t weight = rendezvousWeight(key, shardName(pool, index));
        if (index == 0 || weight > bestWeight) {
            best = index;
            bestWeight = weight;
        }
    }
    return shardName(pool, best);
}

std::vector<std::string> listShards(const Policy& policy)
{
    std::vector<std::string> shards;
    for (const auto& [pool, poolPolicy] : policy.m_pools) {
        for (std::uint32_t index = 0; index < poolPolicy.m_shards; ++index)
            shards.push_back(shardName(pool, index));
    }
    return shards;
}

std::vector<std::string> rankCandidates(const std::string& shard, const std::vector<OwnerCandidate>& candidates)
{
    std::vector<OwnerCandidate> ranked = candidates;
    std::sort(ranked.begin(), ranked.end(), [&shard](const OwnerCandidate& left, const OwnerCandidate& right) {
        if (left.m_ownedCount != right.m_ownedCount)
            return left.m_ownedCount < right.m_ownedCount;
        return rendezvousWeight(shard, left.m_member) > rendezvousWeight(shard, right.m_member);
    });
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (const OwnerCandidate& candidate : ranked)
        names.push_back(candidate.m_member);
    return names;
}

namespace {

    /** Visitor that returns the shard that a call names, or an empty string if it names none. */
    struct ShardOfCall {
        std::string operator()(const StatusCall& call) const { return call.m_job.m_shard; }
        std::string operator()(const CancelCall& call) const { return call.m_job.m_shard; }
        std::string operator()(const ListCall& call) const { return call.m_shard; }
        std::string operator()(const CancelSelectedCall& call) const { return call.m_shard; }
        std::string operator()(const EndpointsCall& call) const { return call.m_shard; }
        template <typename Other>
        std::string operator()(const Other&) const { return {}; }
    };

} // namespace

bool isRetry(const CallerCall& call)
{
    if (const auto* run = std::get_if<RunCall>(&call))
        return run->m_attempt > 1;
    const auto* const submit = std::get_if<SubmitCall>(&call);
    return submit && submit->m_attempt > 1;
}

std::optional<std::string> poolOf(const CallerCall& call)
{
    if (const auto* run = std::get_if<RunCall>(&call))
        return run->m_service;
    if (const auto* submit = std::get_if<SubmitCall>(&call))
        return submit->m_spec.m_pool;
    const std::string shard = std::visit(ShardOfCall {}, call);
    if (shard.empty())
        return std::nullopt;
    return poolOfShard(shard);
}

std::string shardOf(const CallerCall& call, std::uint32_t shardsOfPool)
{
    if (const auto* run = std::get_if<RunCall>(&call))
        return shardForKey(run->m_service, run->m_key, shardsOfPool);
    if (const auto* submit = std::get_if<SubmitCall>(&call))
        return shardForKey(submit->m_spec.m_pool, submit->m_spec.m_key, shardsOfPool);
    return std::visit(ShardOfCall {}, call);
}

} // namespace bulrushloft
