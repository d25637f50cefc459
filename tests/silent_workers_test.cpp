/** @file silent_workers_test.cpp Leaders that begin their term while the workers' topic answers nothing. */
#define BOOST_TEST_MODULE silent_workers
#include <boost/test/unit_test.hpp>

#include "fakes/silent_partitions_cell.h"
#include "process/cell/cell_detail.h"

using namespace bulrushloft;
using namespace bulrushloft::cell;
using namespace bulrushloft::test;

namespace {

constexpr int stepsPerSecond = 100;
constexpr const char* copyPrefix = "~worker:";
constexpr const char* progressTopic = "keyed.progress";
constexpr std::uint16_t firstPort = 9; ///< Of all workers that have not moved.

/** A cell that leads with two workers, each with room for one task. */
struct TwoWorkersCell : SilentPartitionsCell {
    std::size_t m_refusedOrders = 0; ///< Orders for a worker that is no longer there: another one answers at its address.

    TwoWorkersCell()
    {
        prepare();
        stepUntilLeading();
        step(2 * stepsPerSecond);
    }

    /** Starts the VM's process anew while partitions are silent, and lets it lead. */
    void changeLeader(const std::set<StorePartition>& silent)
    {
        m_silent = silent;
        restart();
        prepare();
        stepUntilLeading();
        step(2 * stepsPerSecond);
    }

    /** The value of an announcement is the worker's port, or says that it is draining. Workers that have gone refuse orders, as others answer at their address. */
    void prepare()
    {
        m_node->m_decoders.m_worker = [](const std::string& id, const std::string& value) {
            const bool isDraining = value == "draining";
            const auto port = static_cast<std::uint16_t>(value == "1" || isDraining ? firstPort : std::stoul(value));
            return std::optional(WorkerAnnouncement { .m_id = id, .m_pool = "pool", .m_address = { "127.0.0.1", port }, .m_zone = "a", .m_machine = "m-" + id, .m_capacity = { .m_cpuMilli = 1'000, .m_memoryMb = 10'000, .m_gpus = 0 }, .m_labels = { "a", "r1-1" }, .m_isDraining = isDraining, .m_remainingDrainTime = { 2'000 }, .m_processStartMs = 5 });
        };
        CellPorts& ports = m_node->m_ports;
        ports.m_sync = [this, send = ports.m_sync](const AddressedOrder<SyncOrder>& sync, Duration timeout, const std::function<void(OrderStatus, const SyncReport&)>& onAnswer) {
            if (m_workers.contains(sync.m_to.m_worker))
                return send(sync, timeout, onAnswer);
            ++m_refusedOrders;
            deliver(onAnswer, OrderStatus::WrongInstance, SyncReport {});
        };
        ports.m_start = [this, send = ports.m_start](const AddressedOrder<StartOrder>& start, Duration timeout, const std::function<void(const StartAnswer&)>& onAnswer) {
            if (m_workers.contains(start.m_to.m_worker))
                return send(start, timeout, onAnswer);
            ++m_refusedOrders;
            deliver(onAnswer, StartAnswer { .m_status = OrderStatus::WrongInstance, .m_clockMs = 0 });
        };
    }

    const scheduler::Worker* findWorker(const std::string& id) const
    {
        const auto found = m_node->m_scheduler->m_workerById.find(id);
        return found == m_node->m_scheduler->m_workerById.end() ? nullptr : &m_node->m_scheduler->m_workers[static_cast<std::size_t>(found->second)];
    }

    bool isAnnounced(const std::string& id) const
    {
        const scheduler::Worker* const worker = findWorker(id);
        return worker && worker->m_isAnnounced;
    }

    /** @return The port that the leader has for a worker; 0 if it does not know the worker. */
    std::uint16_t portOf(const std::string& id) const
    {
        const scheduler::Worker* const worker = findWorker(id);
        return worker ? worker->m_announcement.m_address.m_port : std::uint16_t { 0 };
    }

    /** @return Records of copies that were stored so far, deletions included. */
    std::size_t countCopies()
    {
        const std::vector<KeyedRecord> records = m_store.read({ .m_partition = { .m_topic = progressTopic } }).m_records;
        return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [](const KeyedRecord& record) { return record.m_key.starts_with(copyPrefix); }));
    }
};

} // namespace

// Until the workers' topic answered, a new leader knew only workers that had tasks: nothing that waited could start.
BOOST_AUTO_TEST_CASE(a_new_leader_places_tasks_while_the_workers_topic_is_silent)
{
    TwoWorkersCell cell;
    BOOST_REQUIRE((cell.submit(knownJob) == WriteOutcome::Recorded));
    cell.step(stepsPerSecond);
    cell.changeLeader({ workersPartition });
    BOOST_TEST((cell.submit(newJob) == WriteOutcome::Recorded));
    cell.step(2 * stepsPerSecond);
    BOOST_TEST(cell.startsOf(knownJob) == 1U);
    BOOST_TEST(cell.startsOf(newJob) == 1U);
    cell.finish(knownJob);
    cell.finish(newJob);
    cell.step(stepsPerSecond);
    BOOST_TEST(cell.isAtStage(knownJob, scheduler::JobStage::Complete));
    BOOST_TEST(cell.isAtStage(newJob, scheduler::JobStage::Complete));
}

BOOST_AUTO_TEST_CASE(a_worker_that_had_left_is_not_announced_from_a_copy)
{
    TwoWorkersCell cell;
    cell.append(workersTopic, "w2", "");
    cell.step(2 * stepsPerSecond);
    cell.changeLeader({ workersPartition });
    BOOST_TEST(cell.isAnnounced("w1"));
    BOOST_TEST(!cell.isAnnounced("w2"));
}

BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_tasks_by_its_copy)
{
    TwoWorkersCell cell;
    cell.append(workersTopic, "w1", "draining");
    cell.append(workersTopic, "w2", "draining");
    cell.step(2 * stepsPerSecond);
    cell.changeLeader({ workersPartition });
    BOOST_TEST((cell.submit(newJob) == WriteOutcome::Recorded));
    cell.step(2 * stepsPerSecond);
    BOOST_TEST(cell.startsOf(newJob) == 0U);
}

BOOST_AUTO_TEST_CASE(the_first_listing_replaces_the_copies)
{
    TwoWorkersCell cell;
    cell.m_silent = { workersPartition };
    cell.append(workersTopic, "w2", "");
    cell.append(workersTopic, "w1", "10");
    cell.changeLeader({ workersPartition });
    BOOST_TEST(cell.isAnnounced("w2"));
    BOOST_TEST(cell.portOf("w1") == firstPort);
    cell.m_silent.clear();
    cell.step(5 * stepsPerSecond);
    BOOST_TEST(!cell.isAnnounced("w2"));
    BOOST_TEST(cell.isAnnounced("w1"));
    BOOST_TEST(cell.portOf("w1") == 10);
    cell.changeLeader({ workersPartition });
    BOOST_TEST(!cell.isAnnounced("w2"));
    BOOST_TEST(cell.portOf("w1") == 10);
}

// Orders name the worker that they are for, so another one that has its address refuses them.
BOOST_AUTO_TEST_CASE(an_outdated_copy_reaches_no_other_worker)
{
    TwoWorkersCell cell;
    cell.m_silent = { workersPartition };
    cell.m_workers.erase("w2");
    cell.m_workers["w3"]; // At the address that w2 had.
    cell.changeLeader({ workersPartition });
    BOOST_TEST((cell.submit(knownJob) == WriteOutcome::Recorded));
    BOOST_TEST((cell.submit(newJob) == WriteOutcome::Recorded));
    cell.step(3 * stepsPerSecond);
    BOOST_TEST(cell.m_refusedOrders > 0U);
    BOOST_TEST(cell.m_workers.at("w3").m_running.empty());
    BOOST_TEST(cell.startsOf(knownJob) + cell.startsOf(newJob) == 1U, "w1 has room for one of them");
}

// The process that has announced itself may have started again since.
BOOST_AUTO_TEST_CASE(reports_of_a_restarted_worker_are_used_although_its_copy_is_older)
{
    TwoWorkersCell cell;
    cell.m_node->m_decoders.m_worker = [](const std::string& id, const std::string&) {
        return std::optional(WorkerAnnouncement { .m_id = id, .m_pool = "pool", .m_address = { "127.0.0.1", 11 }, .m_zone = "a", .m_machine = {}, .m_capacity = { .m_cpuMilli = 1'000, .m_memoryMb = 10'000, .m_gpus = 0 }, .m_labels = {}, .m_isDraining = false, .m_remainingDrainTime = {}, .m_processStartMs = 4 });
    };
    cell.append(workersTopic, "w1", "1");
    cell.append(workersTopic, "w2", "1");
    cell.step(2 * stepsPerSecond);
    cell.changeLeader({ workersPartition }); // The workers report the start of their process as 5.
    BOOST_REQUIRE(cell.findWorker("w1"));
    BOOST_TEST((cell.findWorker("w1")->m_state == scheduler::WorkerState::Adopted));
    BOOST_TEST((cell.submit(newJob) == WriteOutcome::Recorded));
    cell.step(2 * stepsPerSecond);
    BOOST_TEST(cell.startsOf(newJob) == 1U);
}

BOOST_AUTO_TEST_CASE(copies_are_not_used_when_the_workers_topic_answers)
{
    TwoWorkersCell cell;
    cell.m_silent = { workersPartition };
    cell.append(workersTopic, "w2", "");
    cell.changeLeader({});
    BOOST_TEST(!cell.isAnnounced("w2"));
    BOOST_TEST(!cell.m_node->m_workerCopies.m_isUsed);
    const std::vector<KeyedRecord> records = cell.m_store.read({ .m_partition = { .m_topic = progressTopic } }).m_records;
    const auto isDeletion = [](const KeyedRecord& record) { return record.m_key == std::string(copyPrefix) + "w2" && record.m_value.empty(); };
    BOOST_TEST(std::count_if(records.begin(), records.end(), isDeletion) == 1);
    BOOST_TEST(cell.countCopies() == 3U, "the copy of a worker that left while no leader could see it is deleted");
}

BOOST_AUTO_TEST_CASE(a_copy_is_written_only_when_it_changes)
{
    TwoWorkersCell cell;
    BOOST_TEST(cell.countCopies() == 2U);
    for (int i = 0; i < 5; ++i)
        cell.append(workersTopic, "w1", "1"); // As a worker does that only tells that it is there.
    cell.changeLeader({});
    cell.changeLeader({ workersPartition });
    BOOST_TEST(cell.countCopies() == 2U);
    cell.m_silent.clear();
    cell.step(5 * stepsPerSecond);
    BOOST_TEST(cell.countCopies() == 2U);
    cell.append(workersTopic, "w1", "draining");
    cell.step(2 * stepsPerSecond);
    BOOST_TEST(cell.countCopies() == 3U);
}

BOOST_AUTO_TEST_CASE(copies_that_are_marked_as_due_are_written_again)
{
    TwoWorkersCell cell;
    cell::detail::markWorkerCopiesDue(*cell.m_node);
    cell.step(2 * stepsPerSecond);
    BOOST_TEST(cell.countCopies() == 4U);
}

// The leader's records may go to another partition before the workers' topic answers.
BOOST_AUTO_TEST_CASE(copies_that_are_marked_as_due_while_the_workers_topic_is_silent_are_used_and_written_again)
{
    TwoWorkersCell cell;
    cell.m_silent = { workersPartition };
    cell.restart();
    cell.prepare();
    cell.stepUntilLeading();
    cell::detail::markWorkerCopiesDue(*cell.m_node);
    cell.step(3 * stepsPerSecond);
    BOOST_TEST(cell.isAnnounced("w1"));
    BOOST_TEST(cell.isAnnounced("w2"));
    BOOST_TEST(cell.countCopies() == 4U);
}

BOOST_AUTO_TEST_CASE(an_unreadable_copy_is_passed_over)
{
    TwoWorkersCell cell;
    cell.append(progressTopic, std::string(copyPrefix) + "w1", "not CBOR");
    cell.changeLeader({ workersPartition });
    BOOST_TEST(!cell.isAnnounced("w1"));
    BOOST_TEST(cell.isAnnounced("w2"));
}
