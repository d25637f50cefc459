/** @file begun_terms.cpp The terms that a process knows to have begun. */
#include "process/cell/begun_terms.h"

#include <algorithm>

namespace bulrushloft::cell {

void noteBegunTerm(BegunTerms& terms, std::uint64_t token, TimePoint now)
{
    constexpr std::size_t maxTerms = 3; // The present one, the one before, and one more for changes in quick succession.
    if (!terms.empty() && terms.back().m_token >= token)
        return;
    if (terms.size() == maxTerms)
        terms.erase(terms.begin());
    terms.push_back({ .m_token = token, .m_knownSince = now });
}

std::vector<BegunTermAge> agesOf(const BegunTerms& terms, TimePoint now)
{
    std::vector<BegunTermAge> ages;
    ages.reserve(terms.size());
    for (const BegunTerm& term : terms)
        ages.push_back({ .m_token = term.m_token, .m_knownFor = now - term.m_knownSince });
    return ages;
}

std::optional<Duration> knownForOf(const std::vector<BegunTermAge>& ages, std::uint64_t token)
{
    std::optional<Duration> longest;
    for (const BegunTermAge& age : ages) {
        if (age.m_token >= token)
            longest = std::max(longest.value_or(age.m_knownFor), age.m_knownFor);
    }
    return longest;
}

} // namespace bulrushloft::cell
