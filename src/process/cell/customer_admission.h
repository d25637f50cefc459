/** @file customer_admission.h Rate at which each customer is entitled to submit jobs, and when refused callers get their turn. */
#pragma once

#include "core/clock_type.h"
#include "version/customer_type.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrushloft::cell {

constexpr Duration bucketDepth { 5'000 }; ///< A customer that was idle may submit the jobs of this time at once.
constexpr Duration maxPromiseAhead { 3'000 }; ///< Tokens are promised this far ahead, as callers give up after about 3 s; a later one is more likely of use to another call.
constexpr Duration promiseGrace { 1'500 }; ///< How late a refused caller may return and still get the token that was kept for it.

/** A token that is kept for a refused caller. */
struct PromisedToken {
    std::string m_job; ///< Id of the job that was refused.
    TimePoint m_dueAt; ///< When the caller was told to return.
};

/** Token bucket of a customer. */
struct CustomerBucket {
    double m_rate = 0; ///< Tokens per second; one is taken for each job.
    double m_tokens = 0; ///< Tokens that it held at m_filledAt, promised ones included.
    TimePoint m_filledAt; ///< When m_tokens was last updated.
    std::vector<PromisedToken> m_promises; ///< Tokens kept for refused callers, by time.
    std::uint32_t m_unpromised = 0; ///< Refused callers for which no token was kept; spreads their returns.
};

/** Buckets of all customers, by name. */
using CustomerBuckets = std::unordered_map<std::string, CustomerBucket>;

/** Applies a configuration: new customers begin with full buckets, those of other customers keep their tokens up to the new depth, removed ones are dropped. */
void setCustomers(CustomerBuckets& buckets, const std::vector<CustomerSettings>& customers, TimePoint now);

/**
 * Takes a token for a submission. A caller that returns when it was told to gets the token kept for it; others get one only if
 * all promises can still be kept.
 * @return Whether the submission is in profile, that is, within the customer's rate.
 */
bool takeToken(CustomerBucket& bucket, const std::string& job, TimePoint now);

/** Gives a token back, as its submission was refused for another reason. */
void returnToken(CustomerBucket& bucket);

/**
 * Keeps a future token for a refused caller, if one becomes available soon enough.
 * @return When the caller should return: whole seconds, at least one.
 */
Duration promiseToken(CustomerBucket& bucket, const std::string& job, TimePoint now);

} // namespace bulrushloft::cell
