/**
 * @file begun_terms.h Which terms have begun, and for how long this process has known of them.
 *
 * A process that knows of a term answers leaders of earlier ones from then on so that they stop; see term_lease.h for what follows. It forgets with its
 * end, so the time counts for one process only, and what another process has known is no evidence of this one.
 */
#pragma once

#include "connection/peer_type.h"

namespace bulrushloft::cell {

/** A term whose leader has fenced the earlier ones. */
struct BegunTerm {
    std::uint64_t m_token = 0; ///< Fencing token of the term.
    TimePoint m_knownSince; ///< Since when this process has known that it has begun, on its monotonic clock.
};

/** The latest terms that this process knows to have begun, in their order. */
using BegunTerms = std::vector<BegunTerm>;

/** Notes that a term has begun, unless a later one is known already. */
void noteBegunTerm(BegunTerms& terms, std::uint64_t token, TimePoint now);

/** @return The terms with the time for which they have been known. */
std::vector<BegunTermAge> agesOf(const BegunTerms& terms, TimePoint now);

/** @return For how long the sender of the ages has known that a term, or a later one, has begun; nothing if it does not know. */
std::optional<Duration> knownForOf(const std::vector<BegunTermAge>& ages, std::uint64_t token);

} // namespace bulrushloft::cell
