/** @file placement.cpp Placement policies. */
#include "request/placement_func.h"

#include <algorithm>
#include <compare>

namespace bulrushloft {

namespace {

    constexpr std::int64_t permille = 1'000;

    bool isAllowed(const WorkerOffer& offer, const PlacementQuery& query)
    {
        if (!fitsInto(query.m_size, offer.m_free))
            return false;
        return !query.m_excludedWorkers || std::find(query.m_excludedWorkers->begin(), query.m_excludedWorkers->end(), offer.m_worker) == query.m_excludedWorkers->end();
    }

    std::int64_t leftoverPermille(std::int64_t free, std::int64_t size, std::int64_t capacity)
    {
        return capacity > 0 ? (free - size) * permille / capacity : 0;
    }

    /** @return Sum over all dimensions of what stays free after placing the task, in thousandths of the capacity; GPUs weigh more, as they are scarcest. */
    std::int64_t leftover(const WorkerOffer& offer, const Resources& size)
    {
        constexpr std::int64_t gpuFactor = 2;
        return leftoverPermille(offer.m_free.m_cpuMilli, size.m_cpuMilli, offer.m_capacity.m_cpuMilli)
            + leftoverPermille(offer.m_free.m_memoryMb, size.m_memoryMb, offer.m_capacity.m_memoryMb)
            + gpuFactor * leftoverPermille(offer.m_free.m_gpus, size.m_gpus, offer.m_capacity.m_gpus);
    }

    template <typename Key>
    std::uint32_t countAt(const std::unordered_map<Key, std::uint32_t>& counts, Key key)
    {
        const auto found = counts.find(key);
        return found == counts.end() ? 0 : found->second;
    }

    /** Placement score; lower is better. Spreads the job's tasks first, then prefers the fullest worker. */
    struct Score {
        std::uint32_t m_inZone = 0;
        std::uint32_t m_inRack = 0;
        std::uint32_t m_onWorker = 0;
        std::int64_t m_leftover = 0;

        auto operator<=>(const Score&) const = default;
    };

    Score scoreOf(const WorkerOffer& offer, const PlacementQuery& query)
    {
        Score score { .m_leftover = leftover(offer, query.m_size) };
        if (query.m_policy != PlacementPolicy::Spread || !query.m_spreadCounts)
            return score;
        score.m_inZone = countAt(query.m_spreadCounts->m_byZone, offer.m_zone);
        score.m_inRack = countAt(query.m_spreadCounts->m_byRack, offer.m_rack);
        score.m_onWorker = countAt(query.m_spreadCounts->m_byWorker, offer.m_worker);
        return score;
    }

    std::size_t chooseBest(const std::vector<WorkerOffer>& offers, const PlacementQuery& query)
    {
        std::size_t best = noOffer;
        Score bestScore;
        for (std::size_t i = 0; i < offers.size(); ++i) {
            if (!isAllowed(offers[i], query))
                continue;
            const Score score = scoreOf(offers[i], query);
            if (best == noOffer || score < bestScore) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    std::size_t chooseFirst(const std::vector<WorkerOffer>& offers, const PlacementQuery& query, std::size_t start)
    {
        for (std::size_t step = 0; step < offers.size(); ++step) {
            const std::size_t i = (start + step) % offers.size();
            if (isAllowed(offers[i], query))
                return i;
        }
        return noOffer;
    }

} // namespace

std::size_t chooseWorker(const std::vector<WorkerOffer>& offers, const PlacementQuery& query, std::mt19937_64& random)
{
    if (offers.empty())
        return noOffer;
    switch (query.m_policy) {
    case PlacementPolicy::Pack:
    case PlacementPolicy::Spread:
        return chooseBest(offers, query);
    case PlacementPolicy::FirstFit:
        return chooseFirst(offers, query, 0);
    case PlacementPolicy::Random:
        return chooseFirst(offers, query, random() % offers.size());
    }
    return noOffer;
}

void addToSpreadCounts(SpreadCounts& counts, const WorkerOffer& offer)
{
    ++counts.m_byZone[offer.m_zone];
    ++counts.m_byRack[offer.m_rack];
    ++counts.m_byWorker[offer.m_worker];
}

} // namespace bulrushloft
