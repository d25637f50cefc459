/** @file journal_test.cpp Replay of a shard's journal: claims; duplicate, superseded and malformed entries; snapshots. */
#define BOOST_TEST_MODULE journal
#include "process/journal/journal_func.h"
#include "process/journal/snapshot_func.h"
#include "request/job_func.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushloft;

namespace {

JournalEntry claimEntry(std::uint64_t writer, Epoch supersedes)
{
    JournalEntry entry { .m_writer = { writer }, .m_sequence = 1, .m_wall = { 1'000 } };
    entry.m_records.emplace_back(ClaimRecord { .m_member = "entry-" + std::to_string(writer), .m_address = { "127.0.0.1", 7400 }, .m_supersedes = supersedes });
    return entry;
}

JobSpec smallBatchSpec(const std::string& key, std::uint32_t tasks)
{
    JobSpec spec { .m_key = key, .m_name = "layout", .m_team = "salto", .m_workClass = "standard", .m_pool = "proof", .m_taskCount = tasks };
    spec.m_declared = { 1'000, 256, 0 };
    return spec;
}

JournalEntry acceptEntry(const ShardState& state, std::uint64_t writer, std::uint64_t sequence, const std::string& key)
{
    JournalEntry entry { .m_epoch = state.m_epoch, .m_writer = { writer }, .m_sequence = sequence, .m_wall = { 2'000 } };
    entry.m_records.emplace_back(AcceptJobRecord { smallBatchSpec(key, 3) });
    return entry;
}

EntryVerdict apply(ShardState& state, const JournalEntry& entry)
{
    const auto decoded = decodeEntry(encodeEntry(entry));
    BOOST_REQUIRE(decoded.has_value());
    return applyEntry(state, *decoded, state.m_next, { 5'000 }).m_verdict;
}

ShardState makeOwnedState(std::uint64_t writer)
{
    ShardState state;
    state.m_shard = "proof-0";
    BOOST_TEST((apply(state, claimEntry(writer, {})) == EntryVerdict::Applied));
    return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_claim_is_applied_only_if_it_supersedes_the_current_term)
{
    ShardState state = makeOwnedState(1);
    const Epoch first = state.m_epoch;
    BOOST_TEST((apply(state, claimEntry(2, {})) == EntryVerdict::Superseded));
    BOOST_TEST(state.m_owner.m_value == 1);
    BOOST_TEST((apply(state, claimEntry(3, first)) == EntryVerdict::Applied));
    BOOST_TEST(state.m_owner.m_value == 3);
}

BOOST_AUTO_TEST_CASE(a_claim_records_the_time_of_the_former_owners_last_entry)
{
    ShardState state = makeOwnedState(1);
    const JournalEntry claim = claimEntry(2, state.m_epoch);
    applyEntry(state, claim, state.m_next, { 25'000 });
    BOOST_REQUIRE(state.m_formerOwners.size() == 1);
    BOOST_TEST(state.m_formerOwners.front().m_lastEntryLogTime.m_ms == 5'000);
}

BOOST_AUTO_TEST_CASE(an_entry_of_an_old_term_is_ignored)
{
    ShardState state = makeOwnedState(1);
    const JournalEntry late = acceptEntry(state, 1, 2, "a");
    BOOST_TEST((apply(state, claimEntry(2, state.m_epoch)) == EntryVerdict::Applied));
    BOOST_TEST((apply(state, late) == EntryVerdict::Superseded));
    BOOST_TEST(state.m_jobs.empty());
}

BOOST_AUTO_TEST_CASE(an_entry_appended_again_after_a_lost_answer_is_applied_once)
{
    ShardState state = makeOwnedState(1);
    const JournalEntry entry = acceptEntry(state, 1, 2, "a");
    BOOST_TEST((apply(state, entry) == EntryVerdict::Applied));
    BOOST_TEST((apply(state, entry) == EntryVerdict::Duplicate));
    BOOST_TEST(state.m_jobs.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_repeated_entry_after_a_later_claim_is_ignored)
{
    ShardState state = makeOwnedState(1);
    const JournalEntry repeated = acceptEntry(state, 1, 2, "a");
    apply(state, claimEntry(2, state.m_epoch));
    apply(state, acceptEntry(state, 2, 2, "b"));
    BOOST_TEST((apply(state, repeated) == EntryVerdict::Superseded));
    BOOST_TEST(state.m_jobs.size() == 1);
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_an_error_and_do_not_stop_replay)
{
    ShardState state = makeOwnedState(1);
    BOOST_TEST(!decodeEntry("no entry").has_value());
    BOOST_TEST(!decodeEntry("").has_value());
    skipMalformedEntry(state, state.m_next);
    BOOST_TEST((apply(state, acceptEntry(state, 1, 2, "a")) == EntryVerdict::Applied));
}

BOOST_AUTO_TEST_CASE(a_snapshot_gives_the_same_state_as_replay)
{
    ShardState state = makeOwnedState(1);
    apply(state, acceptEntry(state, 1, 2, "a"));
    JournalEntry entry { .m_epoch = state.m_epoch, .m_writer = { 1 }, .m_sequence = 3 };
    entry.m_records.emplace_back(PlaceRecord { { { .m_ref = { { 1 }, 0, 1 }, .m_worker = "worker-1/7", .m_grant = { 1'000, 256, 0 } } } });
    entry.m_records.emplace_back(IntendRequestRecord { .m_key = "k", .m_digest = 5, .m_runner = "runner-1/3", .m_dispatch = "k#1.1" });
    apply(state, entry);
    const std::string bytes = encodeShardState(state);
    const auto copy = decodeShardState(bytes);
    BOOST_REQUIRE(copy.has_value());
    BOOST_TEST(encodeShardState(*copy) == bytes);
    BOOST_TEST(checkConsistency(*copy).has_value());
}
