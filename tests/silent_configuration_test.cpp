/** @file silent_configuration_test.cpp VMs that start while the operator's topic answers nothing. */
#define BOOST_TEST_MODULE silent_configuration
#include <boost/test/unit_test.hpp>

#include "fakes/silent_partitions_cell.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

constexpr int stepsPerSecond = 100;
constexpr int recoverySteps = 12 * stepsPerSecond; ///< All machines serve again this long after they are back (RECOVER).

/** A cell that has led with a version of the configuration until its copies were written. */
struct CopiedConfigCell : SilentPartitionsCell {
    explicit CopiedConfigCell(std::uint64_t version)
    {
        writeConfig(version);
        stepUntilLeading();
        step(stepsPerSecond);
    }

    /** Starts all VMs anew, of which this cell has one, while partitions are silent. */
    void losePower(const std::set<StorePartition>& silent)
    {
        m_silent = silent;
        restart();
    }

    std::size_t recordsIn(const StorePartition& partition) { return m_store.read({ .m_partition = partition }).m_records.size(); }

    std::string newestIn(const StorePartition& partition)
    {
        const StoreNewestAnswer answer = m_store.newest({ .m_partition = partition, .m_after = {} });
        return answer.m_records.empty() ? std::string() : answer.m_records.front().m_value;
    }
};

} // namespace

// After a loss of all power no VM had a configuration while the operator's topic was silent: all calls were refused and nobody led.
BOOST_AUTO_TEST_CASE(a_restarted_vm_serves_while_the_operators_topic_is_silent)
{
    CopiedConfigCell cell(3);
    cell.losePower({ operatorPartition });
    cell.step(recoverySteps);
    BOOST_TEST(isReady(*cell.m_node));
    BOOST_TEST(cell.version() == 3U);
    BOOST_REQUIRE((cell.m_node->m_role == Role::Leading));
    BOOST_TEST((cell.submit(newJob) == WriteOutcome::Recorded));
    cell.step(stepsPerSecond);
    BOOST_TEST(cell.startsOf(newJob) == 1U);
}

// A VM that starts reads the claims and the operator's topic only; with both silent it took the whole store to be out of reach, and read no copy.
BOOST_AUTO_TEST_CASE(a_restarted_vm_is_ready_while_the_claims_are_silent_too)
{
    CopiedConfigCell cell(3);
    cell.losePower({ operatorPartition, { .m_topic = "keyed.leader" } });
    cell.step(recoverySteps);
    BOOST_TEST(isReady(*cell.m_node));
    BOOST_TEST(cell.version() == 3U);
}

BOOST_AUTO_TEST_CASE(a_single_copy_that_answers_is_enough)
{
    for (const StorePartition& answering : copyPartitions()) {
        CopiedConfigCell cell(3);
        std::set<StorePartition> silent = copyPartitions();
        silent.erase(answering);
        silent.insert(operatorPartition);
        cell.losePower(silent);
        cell.step(recoverySteps);
        BOOST_TEST(cell.version() == 3U, "partition " << answering.m_partition);
        BOOST_TEST((cell.m_node->m_role == Role::Leading), "partition " << answering.m_partition);
    }
}

BOOST_AUTO_TEST_CASE(a_copy_that_missed_a_version_is_not_used_beside_a_newer_one)
{
    for (const StorePartition& silentCopy : copyPartitions()) {
        CopiedConfigCell cell(3);
        cell.m_silent = { silentCopy };
        cell.writeConfig(5);
        cell.step(stepsPerSecond);
        cell.losePower({ operatorPartition });
        const std::vector<std::uint64_t> expected { 0, 5 };
        const std::vector<std::uint64_t> versions = cell.watchVersions(recoverySteps);
        BOOST_TEST(versions == expected, boost::test_tools::per_element());
        BOOST_TEST(cell.newestIn(silentCopy) == "5", "the leader writes the missing copy");
    }
}

// Copies of an append may be carried out seconds later.
BOOST_AUTO_TEST_CASE(an_older_copy_never_replaces_a_newer_version)
{
    CopiedConfigCell cell(3);
    const std::vector<StoreAppend> early = cell.m_appends;
    cell.writeConfig(5);
    cell.step(2 * stepsPerSecond);
    for (const StoreAppend& append : early) {
        if (copyPartitions().contains(append.m_partition))
            BOOST_TEST((cell.m_store.append(append).m_status == StoreStatus::Fenced));
    }
    for (const StorePartition& copy : copyPartitions())
        BOOST_TEST(cell.newestIn(copy) == "5");
    cell.losePower({ operatorPartition });
    cell.step(recoverySteps);
    BOOST_TEST(cell.version() == 5U);
}

BOOST_AUTO_TEST_CASE(the_operators_record_replaces_a_copy_as_soon_as_it_is_read)
{
    CopiedConfigCell cell(3);
    cell.m_silent = copyPartitions();
    cell.writeConfig(5);
    cell.step(stepsPerSecond);
    cell.losePower({ operatorPartition });
    const std::vector<std::uint64_t> beforeAnswer { 0, 3 };
    const std::vector<std::uint64_t> versions = cell.watchVersions(recoverySteps);
    BOOST_TEST(versions == beforeAnswer, boost::test_tools::per_element());
    cell.m_silent.clear();
    const std::vector<std::uint64_t> afterAnswer { 3, 5 };
    const std::vector<std::uint64_t> laterVersions = cell.watchVersions(5 * stepsPerSecond);
    BOOST_TEST(laterVersions == afterAnswer, boost::test_tools::per_element());
}

// A route that was just removed must not come back.
BOOST_AUTO_TEST_CASE(a_copy_is_not_used_when_the_operators_topic_answers)
{
    CopiedConfigCell cell(3);
    cell.m_silent = copyPartitions();
    cell.writeConfig(5);
    cell.step(stepsPerSecond);
    cell.losePower({});
    const std::vector<std::uint64_t> expected { 0, 5 };
    const std::vector<std::uint64_t> versions = cell.watchVersions(recoverySteps);
    BOOST_TEST(versions == expected, boost::test_tools::per_element());
}

// The operator's topic may hold no configuration; that is an answer, too.
BOOST_AUTO_TEST_CASE(a_copy_is_not_used_when_the_operators_topic_is_empty)
{
    CopiedConfigCell cell(3);
    cell.append("op", "config", "");
    cell.losePower({});
    cell.step(recoverySteps);
    BOOST_TEST(cell.version() == 0U);
}

BOOST_AUTO_TEST_CASE(copies_are_read_only_when_the_operators_topic_is_silent)
{
    CopiedConfigCell cell(3);
    cell.losePower({});
    cell.step(recoverySteps);
    for (const StorePartition& copy : copyPartitions())
        BOOST_TEST(cell.m_node->m_storeTraffic.m_partitions[copy].m_reads.m_sent == 0U);
}

BOOST_AUTO_TEST_CASE(each_version_is_stored_once_in_each_copy_by_all_leaders)
{
    CopiedConfigCell cell(3);
    for (int term = 0; term < 3; ++term) {
        cell.restart();
        cell.stepUntilLeading();
        cell.step(stepsPerSecond);
    }
    for (const StorePartition& copy : copyPartitions())
        BOOST_TEST(cell.recordsIn(copy) == 1U);
    cell.writeConfig(4);
    cell.step(2 * stepsPerSecond);
    for (const StorePartition& copy : copyPartitions())
        BOOST_TEST(cell.recordsIn(copy) == 2U);
}

// A read that was lost as a silence began was repeated 3.5 s later, still in the silence, and then again after as long: CONFIG 3 to 7 times on the day of review/10.
BOOST_AUTO_TEST_CASE(a_configuration_that_is_written_after_a_silence_is_in_force_once_the_store_counts_as_stable)
{
    constexpr Duration longestSilence { 6'000 };
    constexpr Duration shortestSilence { 500 };
    constexpr Duration lengthStep { 100 };
    constexpr Duration writtenAfter { 500 }; // The silence.
    constexpr Duration contactTime { 3'000 }; // The platform's contact_ms: from this long after a disruption the VM is in touch.
    CopiedConfigCell cell(1);
    std::uint64_t version = 1;
    for (Duration length = shortestSilence; length <= longestSilence; length = length + lengthStep) {
        cell.m_silent = { operatorPartition };
        cell.step(static_cast<int>(length.m_ms) / 10);
        cell.m_silent.clear();
        const TimePoint silenceEndedAt = cell.m_now;
        cell.step(static_cast<int>(writtenAfter.m_ms) / 10);
        cell.writeConfig(++version);
        while (cell.version() != version && cell.m_now - silenceEndedAt <= contactTime * 2)
            cell.step();
        const Duration took = cell.m_now - silenceEndedAt;
        BOOST_TEST(took.m_ms <= contactTime.m_ms, "after a silence of " << length.m_ms << " ms a new version is in force " << took.m_ms << " ms after its end");
        cell.step(2 * stepsPerSecond);
    }
}
