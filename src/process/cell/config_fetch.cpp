/** @file config_fetch.cpp Decides when a newer configuration is requested from a peer. */
#include "process/cell/config_fetch.h"

#include <algorithm>

namespace bulrushloft::cell {

void noteConfigVersion(ConfigFetch& fetch, const PeerMember& peer, std::uint64_t version, std::uint64_t ownVersion, TimePoint now)
{
    if (version <= ownVersion)
        return;
    if (!fetch.m_behindSince || fetch.m_newestVersion <= ownVersion)
        fetch.m_behindSince = now;
    fetch.m_newestVersion = std::max(fetch.m_newestVersion, version);
    fetch.m_source = peer;
}

bool isConfigFetchDue(const ConfigFetch& fetch, std::uint64_t ownVersion, bool isStoreReached, TimePoint now)
{
    constexpr Duration storeHeadStart { 400 }; ///< How long the store may take to deliver a configuration that a peer already has.
    if (fetch.m_isPending || !fetch.m_behindSince || fetch.m_newestVersion <= ownVersion || now < fetch.m_notBefore)
        return false;
    return !isStoreReached || now - *fetch.m_behindSince >= storeHeadStart;
}

void onConfigRequested(ConfigFetch& fetch)
{
    fetch.m_isPending = true;
}

void onConfigAnswered(ConfigFetch& fetch, TimePoint now)
{
    constexpr Duration retryDelay { 200 };
    fetch.m_isPending = false;
    fetch.m_notBefore = now + retryDelay;
}

} // namespace bulrushloft::cell
