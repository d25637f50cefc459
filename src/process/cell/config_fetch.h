/** @file config_fetch.h Fetching a newer configuration from a peer, for daemons that the store does not serve. */
#pragma once

#include "connection/peer_type.h"
#include "core/clock_type.h"

#include <optional>

namespace bulrushloft::cell {

/** What a daemon knows of configurations newer than its own, and its current request for one. */
struct ConfigFetch {
    std::uint64_t m_newestVersion = 0; ///< Newest version that a peer has named.
    PeerMember m_source; ///< The peer that last named a version newer than the daemon's own.
    std::optional<TimePoint> m_behindSince; ///< Since when the daemon has been behind a peer; empty while it is not.
    bool m_isPending = false; ///< Whether a request is unanswered.
    TimePoint m_notBefore; ///< Earliest time of the next request.
};

/** Notes the version that a peer has in force. @param ownVersion Version of this daemon's configuration; 0 for none. */
void noteConfigVersion(ConfigFetch& fetch, const PeerMember& peer, std::uint64_t version, std::uint64_t ownVersion, TimePoint now);

/**
 * Load: a configuration of 256 KB on links of 2 to 10 Mbit/s while the store refuses a third of the VMs. Sent with every
 * heartbeat, it fills the links, so that neither heartbeats nor the configuration arrive in time. Therefore heartbeats only
 * name the version, and a daemon that is behind requests the text from one peer at a time.
 * @param isStoreReached Whether the store answers this daemon, which then normally reads the configuration there.
 * @return Whether the configuration is to be requested from m_source now.
 */
bool isConfigFetchDue(const ConfigFetch& fetch, std::uint64_t ownVersion, bool isStoreReached, TimePoint now);

/** Notes that a request was sent. */
void onConfigRequested(ConfigFetch& fetch);

/** Notes that a request has ended, with or without an answer. */
void onConfigAnswered(ConfigFetch& fetch, TimePoint now);

} // namespace bulrushloft::cell
