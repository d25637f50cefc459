/** @file invariant.cpp Reporting of broken invariants. */
#include "core/invariant.h"

#include "core/log_func.h"

#include <atomic>
#include <cstdlib>
#include <stdexcept>
#include <string>

namespace bulrushloft {

namespace {

    std::atomic<InvariantAction> activeAction { InvariantAction::Abort };
    std::atomic<std::uint64_t> brokenCount { 0 };

} // namespace

void setInvariantAction(InvariantAction action)
{
    activeAction = action;
}

std::uint64_t countBrokenInvariants()
{
    return brokenCount;
}

void reportBrokenInvariant(std::string_view what, std::string_view where)
{
    ++brokenCount;
    logEvent(LogLevel::Error, "invariant-broken", { { "what", what }, { "where", where } });
    if (activeAction == InvariantAction::Abort)
        std::abort();
    if (activeAction == InvariantAction::Throw)
        throw std::logic_error("broken invariant: " + std::string(what) + " at " + std::string(where));
}

} // namespace bulrushloft
