/** @file failing_vm_test.cpp A VM answers heartbeats, and none of its approval requests reaches the service: steps are served by the others. */
#define BOOST_TEST_MODULE failing_vm
#include <boost/test/unit_test.hpp>

#include "approval_load.h"

using namespace bulrushloft;
using namespace bulrushloft::scheduler;
using namespace bulrushloft::test;

namespace {

/** @return How many of 5 slow and 50 quick steps, submitted in 5 s, have not started after 14 s, the platform's bound for what is left when the load has ended (finish_s). */
std::size_t countWaiting(int vms, int failing)
{
    constexpr int seconds = 14;
    ApprovalLoad load(10, vms, 0.5);
    load.m_failingVm = "vm-" + std::to_string(failing);
    const StepPlan step { .m_count = 1, .m_size = { .m_cpuMilli = 100, .m_memoryMb = 100, .m_gpus = 0 }, .m_estimatedRunTime = { 400 } };
    std::size_t submitted = 0;
    for (int i = 0; i < seconds; ++i) {
        for (int each = 0; i < 5 && each < 11; ++each, ++submitted)
            load.submit(each == 0 ? "gang" : "quick", step);
        load.run({ 1'000 });
    }
    return submitted - load.m_waits.size();
}

} // namespace

// LOST with few VMs: the failing one is free soonest, so that it gets the same steps' requests again and again, while others idle.
BOOST_AUTO_TEST_CASE(steps_are_served_although_one_vm_does_not_reach_the_approval_service)
{
    for (const int vms : { 2, 3, 4, 7 }) {
        for (int failing = 0; failing < vms; ++failing) {
            const std::size_t waiting = countWaiting(vms, failing);
            BOOST_TEST(waiting == 0, vms << " VMs, number " << failing << " fails: " << waiting << " of 55 steps wait");
        }
    }
}
