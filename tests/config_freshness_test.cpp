/** @file config_freshness_test.cpp Decisions on whether a configuration is known to be current, without a network. */
#define BOOST_TEST_MODULE config_freshness
#include <boost/test/unit_test.hpp>

#include "process/cell/config_freshness.h"

#include <optional>
#include <random>
#include <vector>

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

constexpr Duration revocation { 5'000 };
constexpr Duration accepted { 4'800 }; ///< 5 s less 2 % less 100 ms.

bool isCurrentAt(const ConfigFreshness& freshness, std::int64_t now)
{
    return isConfigCurrent(freshness, revocation, { now });
}

} // namespace

BOOST_AUTO_TEST_CASE(nothing_is_current_without_evidence)
{
    BOOST_TEST(!isCurrentAt({}, 0));
    BOOST_TEST(!configAge({}, { 5 }));
    BOOST_TEST(acceptanceTime(revocation).m_ms == accepted.m_ms);
}

// Guards against evidence that counts from its arrival, or for longer than clocks of different rates allow.
BOOST_AUTO_TEST_CASE(a_read_counts_from_when_it_was_sent_and_expires)
{
    ConfigFreshness freshness;
    noteConfigRead(freshness, { 1'000 });
    BOOST_TEST(isCurrentAt(freshness, 1'000 + accepted.m_ms - 1));
    BOOST_TEST(!isCurrentAt(freshness, 1'000 + accepted.m_ms));
    noteConfigRead(freshness, { 800 }); // An earlier one that is answered late.
    BOOST_TEST(isCurrentAt(freshness, 1'000 + accepted.m_ms - 1));
}

BOOST_AUTO_TEST_CASE(the_age_that_a_peer_names_is_counted_before_the_question)
{
    ConfigFreshness freshness;
    notePeerEvidence(freshness, 3, 3, { 2'000 }, { 1'500 });
    BOOST_TEST(configAge(freshness, { 2'100 })->m_ms == 1'600);
    BOOST_TEST(!isCurrentAt(freshness, 500 + accepted.m_ms));
    notePeerEvidence(freshness, 3, 3, { 2'200 }, { -5 }); // No VM can know anything of the future.
    BOOST_TEST(!isCurrentAt(freshness, 500 + accepted.m_ms));
}

// Guards against a VM with an old version that takes a peer's evidence for a newer one, in which a key is missing, as its own.
BOOST_AUTO_TEST_CASE(evidence_of_another_version_counts_only_once_that_is_in_force)
{
    ConfigFreshness freshness;
    notePeerEvidence(freshness, 2, 3, { 9'000 }, {});
    notePeerEvidence(freshness, 4, 3, { 9'000 }, {});
    BOOST_TEST(!isCurrentAt(freshness, 9'001));
    onConfigInForce(freshness, 4);
    BOOST_TEST(isCurrentAt(freshness, 9'001));
}

BOOST_AUTO_TEST_CASE(evidence_of_a_version_beyond_the_new_one_waits_for_it)
{
    ConfigFreshness freshness;
    notePeerEvidence(freshness, 5, 3, { 9'000 }, {});
    onConfigInForce(freshness, 4);
    BOOST_TEST(!isCurrentAt(freshness, 9'001));
    onConfigInForce(freshness, 6);
    BOOST_TEST(isCurrentAt(freshness, 9'001));
}

// Guards against a removed key that stays valid because the record that removes it can't be decoded.
BOOST_AUTO_TEST_CASE(an_unreadable_record_ends_evidence_until_a_readable_one_follows)
{
    ConfigFreshness freshness;
    noteConfigRead(freshness, { 1'000 });
    onConfigUnreadable(freshness, 3);
    BOOST_TEST(!isCurrentAt(freshness, 1'001));
    noteConfigRead(freshness, { 1'100 });
    notePeerEvidence(freshness, 3, 3, { 1'100 }, {}); // A peer that has not read the record yet.
    BOOST_TEST(!isCurrentAt(freshness, 1'101));
    onConfigInForce(freshness, 4);
    onConfigReadable(freshness);
    noteConfigRead(freshness, { 1'200 });
    BOOST_TEST(isCurrentAt(freshness, 1'201));
}

// The record that can't be decoded may have been read, and the store then be lost: a peer that reads the next version passes it on with its evidence.
BOOST_AUTO_TEST_CASE(a_later_version_of_a_peer_counts_after_an_unreadable_record)
{
    ConfigFreshness freshness;
    onConfigUnreadable(freshness, 3);
    onConfigInForce(freshness, 4);
    noteConfigRead(freshness, { 1'000 }); // The store still shows the unreadable record as the newest one.
    BOOST_TEST(!isCurrentAt(freshness, 1'001));
    notePeerEvidence(freshness, 4, 4, { 1'000 }, { 10 });
    BOOST_TEST(isCurrentAt(freshness, 1'001));
}

BOOST_AUTO_TEST_CASE(members_are_asked_once_half_of_the_time_has_passed)
{
    ConfigFreshness freshness;
    BOOST_TEST(takeQuestion(freshness, revocation, { 10 }));
    BOOST_TEST(!takeQuestion(freshness, revocation, { 20 }));
    noteConfigRead(freshness, { 1'000 });
    BOOST_TEST(!takeQuestion(freshness, revocation, { 1'000 + accepted.m_ms / 2 - 1 }));
    BOOST_TEST(takeQuestion(freshness, revocation, { 1'000 + accepted.m_ms / 2 }));
    int questions = 0;
    for (std::int64_t now = 1'000 + accepted.m_ms / 2; now < 1'000 + accepted.m_ms; ++now)
        questions += takeQuestion(freshness, revocation, { now }) ? 1 : 0;
    BOOST_TEST(questions >= 10);
}

namespace {

/** A record that the operator has stored. */
struct StoredRecord {
    std::uint64_t m_version = 0; ///< 0 for one that can't be decoded.
    std::int64_t m_at = 0;
};

/** A VM of the model: what it has read of the store, and its version. */
struct ModelVm {
    ConfigFreshness m_freshness;
    std::uint64_t m_version = 0;
    std::size_t m_readRecords = 0; ///< Records of the store that it has read.
    double m_rate = 1; ///< Rate of its clock, 0.98 to 1.02.
    std::int64_t m_origin = 0; ///< What its clock shows at time 0 of the model.

    TimePoint clockAt(std::int64_t time) const { return { m_origin + static_cast<std::int64_t>(static_cast<double>(time) * m_rate) }; }
};

/** VMs that read a store and ask each other. Times are those of the operator's clock, in ms. */
struct Model {
    std::vector<StoredRecord> m_store;
    std::vector<ModelVm> m_vms { 4 };
    std::mt19937_64 m_random;
    std::int64_t m_now = 10'000;

    std::int64_t draw(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(m_random); }

    void putInForce(ModelVm& vm, std::uint64_t version)
    {
        if (version <= vm.m_version)
            return;
        vm.m_version = version;
        onConfigInForce(vm.m_freshness, version);
    }

    /** A read that was sent a while ago, is carried out in between and answered now. */
    void read(ModelVm& vm)
    {
        const std::int64_t askedAt = m_now - draw(0, 3'000);
        const std::int64_t carriedOutAt = draw(0, 1) == 0 ? askedAt : draw(askedAt, m_now);
        for (; vm.m_readRecords < m_store.size() && m_store[vm.m_readRecords].m_at <= carriedOutAt; ++vm.m_readRecords) {
            const StoredRecord& record = m_store[vm.m_readRecords];
            if (record.m_version == 0) {
                onConfigUnreadable(vm.m_freshness, vm.m_version);
                continue;
            }
            putInForce(vm, record.m_version);
            if (record.m_version == vm.m_version)
                onConfigReadable(vm.m_freshness);
        }
        const bool hasNewer = vm.m_readRecords < m_store.size() && m_store[vm.m_readRecords].m_at <= carriedOutAt;
        if (!hasNewer)
            noteConfigRead(vm.m_freshness, vm.clockAt(askedAt));
    }

    /** An answer of a peer that was given now to a question sent earlier still. */
    void ask(ModelVm& vm, const ModelVm& peer)
    {
        const auto age = configAge(peer.m_freshness, peer.clockAt(m_now));
        if (age)
            notePeerEvidence(vm.m_freshness, peer.m_version, vm.m_version, vm.clockAt(m_now - draw(0, 700)), *age);
        if (draw(0, 2) == 0)
            putInForce(vm, peer.m_version);
    }

    /** @return The last time at which a VM accepts keys by the evidence that it has now; empty if it accepts none now. */
    std::optional<std::int64_t> acceptsUntil(const ModelVm& vm) const
    {
        if (!isConfigCurrent(vm.m_freshness, revocation, vm.clockAt(m_now)))
            return std::nullopt;
        std::int64_t until = m_now;
        while (isConfigCurrent(vm.m_freshness, revocation, vm.clockAt(until + 1)))
            ++until;
        return until;
    }

    /** @return Whether a VM accepts keys of a version, now or until its evidence ends, although a later record, readable or not, was stored longer before than allowed. */
    bool isViolated(const ModelVm& vm) const
    {
        const auto until = acceptsUntil(vm);
        if (!until)
            return false;
        bool isReached = vm.m_version == 0;
        for (const StoredRecord& record : m_store) {
            if (isReached && *until - record.m_at > revocation.m_ms)
                return true;
            isReached = isReached || record.m_version == vm.m_version;
        }
        return false;
    }
};

} // namespace

// VMs whose clocks differ in rate read the store and ask each other at random, with late answers and records that can't be decoded; a version that was replaced longer ago than the limit must not count as current on any.
BOOST_AUTO_TEST_CASE(no_vm_takes_a_replaced_version_for_current_beyond_the_limit)
{
    constexpr std::uint64_t seeds = 300;
    constexpr int events = 400;
    int current = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Model model;
        model.m_random.seed(seed);
        std::uint64_t version = 0;
        for (ModelVm& vm : model.m_vms) {
            vm.m_rate = 0.98 + 0.0001 * static_cast<double>(model.draw(0, 400));
            vm.m_origin = model.draw(0, 1'000'000);
        }
        const std::int64_t readShare = model.draw(1, 30); // In some worlds hardly any VM reaches the store.
        for (int event = 0; event < events; ++event) {
            model.m_now += model.draw(0, 400);
            ModelVm& vm = model.m_vms[static_cast<std::size_t>(model.draw(0, 3))];
            if (model.draw(0, 40) == 0)
                model.m_store.push_back({ .m_version = model.draw(0, 4) == 0 ? 0 : ++version, .m_at = model.m_now });
            if (model.draw(0, 100) < readShare)
                model.read(vm);
            else
                model.ask(vm, model.m_vms[static_cast<std::size_t>(model.draw(0, 3))]);
            current += isConfigCurrent(vm.m_freshness, revocation, vm.clockAt(model.m_now)) ? 1 : 0;
            BOOST_REQUIRE_MESSAGE(!model.isViolated(vm), "seed " << seed << ", event " << event);
        }
    }
    BOOST_TEST(current > 10'000); // Otherwise the worlds would show nothing.
}
