/** @file begun_terms_test.cpp What the knowledge of a listed VM says about earlier leaders, and a model of an earlier leader that goes on by the answers of such VMs. */
#define BOOST_TEST_MODULE begun_terms
#include <boost/test/unit_test.hpp>

#include "connection/peer_codec.h"
#include "process/cell/begun_terms.h"
#include "process/cell/term_lease.h"

#include <array>
#include <iostream>
#include <random>

using namespace bulrushloft;
using namespace bulrushloft::cell;

namespace {

constexpr TermLeaseOptions options;
constexpr std::uint64_t newTerm = 7;
constexpr std::int64_t stepMs = 10;
constexpr std::size_t listedCount = 3;

/** A clock that runs at its own rate. */
struct DriftingClock {
    double m_rate = 1; ///< Its time for one ms of real time.

    TimePoint at(std::int64_t realMs) const { return { static_cast<std::int64_t>(static_cast<double>(realMs) * m_rate) + 1'000'000 }; }
    /** @return The latest real time at which the clock showed a time. */
    double realTimeOf(TimePoint time) const { return static_cast<double>(time.m_ms + 1 - 1'000'000) / m_rate; }
};

/** A listed VM, whose process may end and begin again; it then knows nothing. */
struct ListedVm {
    std::string m_id;
    DriftingClock m_clock;
    bool m_isUp = true;
    BegunTerms m_begunTerms;
};

/** A message of a listed VM on its way to the new leader. */
struct Message {
    std::int64_t m_arrivesAt = 0;
    std::vector<BegunTermAge> m_ages;
};

/** The course of one simulation; times are real ms. */
struct Model {
    std::mt19937_64 m_random;
    DriftingClock m_formerClock;
    DriftingClock m_newClock;
    std::array<ListedVm, listedCount> m_listed;
    TermEvidence m_evidence; ///< Of the former leader, which has been cut off from the store and from the new leader.
    bool m_hasLapsed = false; ///< Whether the former leader has stopped for good.
    std::vector<Message> m_messages;
    std::optional<double> m_stoppedAt; ///< When the former leader had stopped, as the new leader has concluded.
    double m_latestRenewal = 0; ///< When the former leader last renewed leases.
    double m_restartShare = 0; ///< Probability of a restart of each VM in a step.

    explicit Model(std::uint64_t seed)
        : m_random(seed)
    {
        m_formerClock.m_rate = rate();
        m_newClock.m_rate = rate();
        m_restartShare = 0.006 * share();
        m_evidence.m_isListStored = true;
        for (std::size_t i = 0; i < listedCount; ++i) {
            m_listed[i].m_id = "vm-" + std::to_string(i);
            m_listed[i].m_clock.m_rate = rate();
            m_evidence.m_memberAskedAt[m_listed[i].m_id] = {};
        }
        noteStoreAnswer(m_evidence, m_formerClock.at(0)); // The new term begins now.
    }

    double share() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool happens(double probability) { return share() < probability; }
    double rate() { return 1 - options.m_clockDrift * share(); }

    void stepListed(std::int64_t now)
    {
        for (ListedVm& vm : m_listed) {
            if (happens(m_restartShare)) {
                vm.m_isUp = !vm.m_isUp;
                vm.m_begunTerms.clear();
            }
            if (vm.m_isUp && happens(0.01))
                noteBegunTerm(vm.m_begunTerms, newTerm, vm.m_clock.at(now));
            if (vm.m_isUp && happens(0.04))
                m_messages.push_back({ .m_arrivesAt = now + std::uniform_int_distribution<std::int64_t>(0, 2'000)(m_random), .m_ages = agesOf(vm.m_begunTerms, vm.m_clock.at(now)) });
        }
    }

    /** The former leader asks all listed VMs. What would make it stop, that one of them knows of the new term, is lost. */
    void stepFormer(std::int64_t now)
    {
        const TimePoint asked = m_formerClock.at(now);
        for (const ListedVm& vm : m_listed) {
            if (!vm.m_isUp || vm.m_begunTerms.empty())
                noteMemberAnswer(m_evidence, vm.m_id, asked);
        }
        m_hasLapsed = m_hasLapsed || !mayRenewLeases(m_evidence, options, asked);
        if (!m_hasLapsed)
            m_latestRenewal = static_cast<double>(now);
    }

    void stepNew(std::int64_t now)
    {
        for (const Message& message : m_messages) {
            if (message.m_arrivesAt > now)
                continue;
            const auto knownFor = knownForOf(message.m_ages, newTerm);
            const auto stoppedAt = knownFor ? earlierStopShownBy(*knownFor, m_newClock.at(now), options) : std::nullopt;
            if (stoppedAt)
                m_stoppedAt = std::min(m_stoppedAt.value_or(1e18), m_newClock.realTimeOf(*stoppedAt));
        }
        std::erase_if(m_messages, [now](const Message& message) { return message.m_arrivesAt <= now; });
    }

    void run()
    {
        constexpr std::int64_t length = 32'000;
        for (std::int64_t now = 0; now < length; now += stepMs) {
            stepListed(now);
            stepFormer(now);
            stepNew(now);
        }
    }
};

} // namespace

// A listed VM that forgets the new term as it restarts lets an earlier leader go on; only what one process has known for the whole limit counts.
BOOST_AUTO_TEST_CASE(an_earlier_leader_has_stopped_when_a_listed_vm_shows_it)
{
    int concluded = 0;
    int outlived = 0;
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        Model model(seed);
        model.run();
        constexpr double longAfterTheStore = 4'000;
        outlived += model.m_latestRenewal > longAfterTheStore ? 1 : 0;
        if (!model.m_stoppedAt)
            continue;
        ++concluded;
        if (model.m_latestRenewal > *model.m_stoppedAt)
            BOOST_ERROR("seed " << seed << ": the earlier leader renewed leases at " << model.m_latestRenewal << " ms, but counts as stopped from " << *model.m_stoppedAt << " ms on");
    }
    std::cout << "2000 models: the earlier leader went on by the members' answers in " << outlived << ", a stop was shown in " << concluded << "\n";
    BOOST_TEST(concluded > 100, "too few models show a stop");
    BOOST_TEST(outlived > 100, "in too few models the earlier leader went on by the members' answers");
}

BOOST_AUTO_TEST_CASE(a_term_counts_from_when_this_process_has_known_of_it)
{
    BegunTerms terms;
    noteBegunTerm(terms, 3, { 1'000 });
    noteBegunTerm(terms, 3, { 2'000 });
    noteBegunTerm(terms, 5, { 3'000 });
    noteBegunTerm(terms, 4, { 4'000 }); // Late news of a term that is over.
    const std::vector<BegunTermAge> ages = agesOf(terms, { 6'000 });
    BOOST_REQUIRE(ages.size() == 2);
    BOOST_TEST(knownForOf(ages, 3)->m_ms == 5'000);
    BOOST_TEST(knownForOf(ages, 4)->m_ms == 3'000);
    BOOST_TEST(knownForOf(ages, 5)->m_ms == 3'000);
    BOOST_TEST(!knownForOf(ages, 6).has_value());
}

// Only the latest terms are kept; those that are dropped count from when a later one was known.
BOOST_AUTO_TEST_CASE(a_term_that_was_dropped_counts_from_a_later_one)
{
    BegunTerms terms;
    for (std::uint64_t token = 1; token <= 10; ++token)
        noteBegunTerm(terms, token, { static_cast<std::int64_t>(token) * 1'000 });
    const std::vector<BegunTermAge> ages = agesOf(terms, { 11'000 });
    BOOST_TEST(ages.size() < 10U);
    BOOST_TEST(knownForOf(ages, 1)->m_ms == static_cast<std::int64_t>(ages.size()) * 1'000);
}

BOOST_AUTO_TEST_CASE(heartbeats_carry_the_terms_known_to_have_begun)
{
    const std::vector<BegunTermAge> terms { { .m_token = 3, .m_knownFor = { 4'000 } }, { .m_token = 9, .m_knownFor = { 20 } } };
    const auto message = decodePeerMessage(encodePeerMessage(PeerHeartbeat { .m_begunTerms = terms }));
    BOOST_REQUIRE(message.has_value());
    const auto reply = decodePeerReply(encodePeerReply(PeerHeartbeatAnswer { .m_begunTerms = terms }));
    BOOST_REQUIRE(reply.has_value());
    for (const auto& read : { std::get<PeerHeartbeat>(*message).m_begunTerms, std::get<PeerHeartbeatAnswer>(*reply).m_begunTerms }) {
        BOOST_REQUIRE(read.size() == 2);
        BOOST_TEST(read.front().m_token == 3U);
        BOOST_TEST(read.front().m_knownFor.m_ms == 4'000);
        BOOST_TEST(read.back().m_token == 9U);
    }
}
