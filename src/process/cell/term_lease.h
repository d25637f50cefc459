/**
 * @file term_lease.h A term as a lease: how long a leader may renew the leases of workers, and how long a later leader waits for it.
 *
 * The bound: whenever a leader renews, no later term had begun m_renewalLimit before. A later term begins when it has fenced the
 * earlier ones, and its leader counts from then on: m_renewalLimit until earlier leaders have stopped, and the longest lease more.
 *
 * That no later term had begun is known from the store, or from each member of the list that the store holds: a member that
 * answers a question, or whose VM refuses the connection, has not begun a later term before it was asked. A leader that is not on
 * the list was not asked by earlier leaders; they go on for up to m_outageLimit without the store. It need not wait for that where a
 * member that they ask has known of the new term for m_renewalLimit in one process: since then that member has given them no evidence.
 */
#pragma once

#include "connection/peer_type.h"
#include "core/error_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushloft::cell {

/** Limits of a term, the same on all daemons: both sides of the bound are computed from them. */
struct TermLeaseOptions {
    Duration m_renewalLimit { 3'000 }; ///< A leader renews leases for at most this long after a time at which no later term had begun.
    Duration m_outageLimit { 30'000 }; ///< It renews for at most this long after the store has last shown that itself, whatever members answer.
    double m_clockDrift = 0.02; ///< Fraction by which the clock of a later leader may run fast against that of an earlier one.
};

/** The members that a leader asks while the store does not answer, as the store holds them. */
struct MemberList {
    std::uint64_t m_settledTerm = 0; ///< Leaders of terms before this one have stopped renewing leases; 0 for none.
    std::vector<std::string> m_members; ///< The members' VMs, each as memberIdOf(), sorted.

    bool operator==(const MemberList&) const = default;
};

constexpr const char* memberListKey = "~members"; ///< Key of the list in the topic of progress; comes after all keys of jobs.

/** @return Identifies a VM by its name and address: one that has taken over a name at another address is not the one that was asked. */
std::string memberIdOf(const PeerMember& member);

/** @return The address in a memberIdOf(); nothing if the text holds none. */
std::optional<Address> addressOfMember(const std::string& id);

std::string encodeMemberList(const MemberList& list);

/** @return The list, or an error of kind InvalidInput. */
Expected<MemberList> decodeMemberList(const std::string& record);

/** @param id A memberIdOf(). @return Whether leaders that go by the list ask that VM. */
bool isListed(const MemberList& list, const std::string& id);

/**
 * What shows a leader that no later term has begun. All times are those of questions, never of their answers, and are read
 * from the clock that goes on during a suspension.
 */
struct TermEvidence {
    TimePoint m_storeAskedAt; ///< The latest question whose answer by the store shows it; zero for none.
    std::map<std::uint64_t, TimePoint> m_appendedAt; ///< When the unconfirmed fenced appends of the term were first sent, by sequence number. A repeat may be answered like the first attempt.
    bool m_isListStored = false; ///< The store holds a list of members, so that a leader that is not on it waits longer.
    std::map<std::string, TimePoint> m_memberAskedAt; ///< By listed member, other than this VM: the latest question whose answer, or refusal, shows it; zero for none.
};

/** Notes a question whose answer by the store shows that no later term had begun. */
void noteStoreAnswer(TermEvidence& evidence, TimePoint askedAt);

/** Notes an attempt of a fenced append. */
void noteAppendSent(TermEvidence& evidence, std::uint64_t sequence, TimePoint now);

/** Notes that the store has confirmed a fenced append and all before it; it would have refused it after a later term's fence. */
void noteAppendConfirmed(TermEvidence& evidence, std::uint64_t sequence);

/** Notes that a listed member has answered that it knows no later term, or that its VM has refused the connection. */
void noteMemberAnswer(TermEvidence& evidence, const std::string& id, TimePoint askedAt);

/** @return The latest time at which no later term is known to have begun. */
TimePoint provenAt(const TermEvidence& evidence, const TermLeaseOptions& options);

/** @return Whether a leader may renew leases, start tasks and answer for the cell. */
bool mayRenewLeases(const TermEvidence& evidence, const TermLeaseOptions& options, TimePoint now);

/** @return Whether the store has shown nothing for so long that the members have to be asked. */
bool isStoreEvidenceOld(const TermEvidence& evidence, const TermLeaseOptions& options, TimePoint now);

/**
 * @param knownFor For how long one process of a listed member has known of a term that has begun. @param now When that was heard.
 * @return When leaders of terms before that one had stopped renewing leases; nothing if the time is too short to tell.
 */
std::optional<TimePoint> earlierStopShownBy(Duration knownFor, TimePoint now, const TermLeaseOptions& options);

/**
 * @param list The list that the store held when earlier terms were fenced; nothing if it held none, so that no leader has gone on without the store.
 * @param self The new leader's VM.
 * @return How long after the fence earlier leaders may go on to renew leases.
 */
Duration earlierRenewalBound(const std::optional<MemberList>& list, const PeerMember& self, const TermLeaseOptions& options);

} // namespace bulrushloft::cell
