/** @file approval_proxy.h Which VM sends an approval request: VMs that are kept for quick or for slow requests, and when others may use them. */
#pragma once

#include "process/scheduler/scheduler_base.h"

namespace bulrushloft::scheduler::detail {

/** @return Whether a request that is expected to take this long is slow: it does not use the VMs that are reserved for quick ones. */
bool isSlowRequest(Duration duration);

/** @return Number of VMs, the first of the list, that are reserved for quick requests and for steps that have waited long to send one. */
std::size_t countReservedProxies(const Scheduler& scheduler);

/** @return Number of VMs, the last of the list, that are reserved for slow requests. */
std::size_t countSlowProxies(const Scheduler& scheduler);

/**
 * Chooses the VM that sends a request. A VM that is kept for the other kind of request is used when it has been idle for as long as the
 * request takes. The VMs that late steps share with quick requests serve both in turn, each for as long as one slow request takes; a slow
 * request that finds no VM is noted there.
 * @param duration Expected duration of the request.
 * @return The VM that is free soonest, or null when none is free soon enough.
 */
ApprovalProxy* chooseProxy(Scheduler& scheduler, const StepRun& run, Duration duration, TimePoint now);

/** Counts a request against the time of the VM that sends it. @param duration Expected duration of the request. */
void occupyProxy(ApprovalProxy& proxy, Duration duration, TimePoint now);

/** Notes whether a VM's request was answered. One that fails while others' are answered counts as busy for a while, longer with each failure. */
void noteProxyOutcome(Scheduler& scheduler, const std::string& member, bool isAnswered, TimePoint now);

/** Logs which VMs may send requests, what each is kept for and how long it is idle or busy, and how many steps wait for one: one line of bounded length. */
void reportProxies(const Scheduler& scheduler, TimePoint now);

} // namespace bulrushloft::scheduler::detail
