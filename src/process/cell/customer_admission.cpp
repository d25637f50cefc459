/** @file customer_admission.cpp Token buckets of customers. */
#include "process/cell/customer_admission.h"

#include <algorithm>
#include <cmath>

namespace bulrushloft::cell {

namespace {

    constexpr double millisecondsPerSecond = 1'000;
    constexpr double rounding = 1e-6; ///< Sums of small amounts of tokens may fall short of a whole one by this much.

    double depthOf(double rate)
    {
        return rate <= 0 ? 0 : std::max(1.0, rate * static_cast<double>(bucketDepth.m_ms) / millisecondsPerSecond);
    }

    /** Adds the tokens of the time that has passed, and drops the promises to callers that have not returned. */
    void fill(CustomerBucket& bucket, TimePoint now)
    {
        const Duration passed = now - bucket.m_filledAt;
        if (passed.m_ms > 0) {
            bucket.m_tokens = std::min(depthOf(bucket.m_rate), bucket.m_tokens + bucket.m_rate * static_cast<double>(passed.m_ms) / millisecondsPerSecond);
            bucket.m_filledAt = now;
        }
        std::erase_if(bucket.m_promises, [&](const PromisedToken& promise) { return now > promise.m_dueAt + promiseGrace; });
    }

    /** @return Whether each promise can be kept when it is due although a further token is taken now. */
    bool canSpareToken(const CustomerBucket& bucket, TimePoint now)
    {
        double needed = 1;
        if (bucket.m_tokens + rounding < needed)
            return false;
        for (const PromisedToken& promise : bucket.m_promises) {
            ++needed;
            const double untilThen = std::max(0.0, static_cast<double>((promise.m_dueAt - now).m_ms)) / millisecondsPerSecond;
            if (bucket.m_tokens + bucket.m_rate * untilThen + rounding < needed)
                return false;
        }
        return true;
    }

    Duration toWholeSeconds(double seconds)
    {
        return Duration { 1'000 } * std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(seconds - rounding)));
    }

} // namespace

void setCustomers(CustomerBuckets& buckets, const std::vector<CustomerSettings>& customers, TimePoint now)
{
    CustomerBuckets next;
    next.reserve(customers.size());
    for (const CustomerSettings& customer : customers) {
        CustomerBucket bucket { .m_rate = customer.m_weight, .m_tokens = depthOf(customer.m_weight), .m_filledAt = now, .m_promises = {} };
        if (const auto known = buckets.find(customer.m_name); known != buckets.end()) {
            fill(known->second, now);
            bucket.m_tokens = std::min(bucket.m_tokens, known->second.m_tokens);
            bucket.m_promises = std::move(known->second.m_promises);
        }
        next.insert_or_assign(customer.m_name, std::move(bucket));
    }
    buckets = std::move(next);
}

bool takeToken(CustomerBucket& bucket, const std::string& job, TimePoint now)
{
    fill(bucket, now);
    const auto promise = std::find_if(bucket.m_promises.begin(), bucket.m_promises.end(), [&](const PromisedToken& each) { return each.m_job == job; });
    const bool isExpected = promise != bucket.m_promises.end() && now >= promise->m_dueAt && bucket.m_tokens + rounding >= 1;
    if (!isExpected && !canSpareToken(bucket, now))
        return false;
    if (promise != bucket.m_promises.end())
        bucket.m_promises.erase(promise);
    bucket.m_tokens -= 1;
    return true;
}

void returnToken(CustomerBucket& bucket)
{
    bucket.m_tokens = std::min(depthOf(bucket.m_rate), bucket.m_tokens + 1);
}

Duration promiseToken(CustomerBucket& bucket, const std::string& job, TimePoint now)
{
    constexpr std::int64_t spreadSeconds = 3;
    fill(bucket, now);
    const auto known = std::find_if(bucket.m_promises.begin(), bucket.m_promises.end(), [&](const PromisedToken& each) { return each.m_job == job; });
    if (known != bucket.m_promises.end()) // It has returned too early; its turn stays the same.
        return toWholeSeconds(static_cast<double>((known->m_dueAt - now).m_ms) / millisecondsPerSecond);
    if (bucket.m_rate <= 0)
        return Duration { 1'000 } * (1 + bucket.m_unpromised++ % spreadSeconds);
    const double missing = static_cast<double>(bucket.m_promises.size()) + 1 - bucket.m_tokens;
    const Duration delay = toWholeSeconds(missing / bucket.m_rate);
    if (delay > maxPromiseAhead)
        return delay + Duration { 1'000 } * (bucket.m_unpromised++ % spreadSeconds);
    // Delays are rounded up, so a later refusal never gets an earlier turn: the list stays in order.
    bucket.m_promises.push_back({ .m_job = job, .m_dueAt = now + delay });
    return delay;
}

} // namespace bulrushloft::cell
