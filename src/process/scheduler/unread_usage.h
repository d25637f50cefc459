/** @file unread_usage.h Attempts of customers that an earlier term has started and whose job this term has not read yet. */
#pragma once

#include "process/scheduler/scheduler_base.h"

#include <nlohmann/json_fwd.hpp>

namespace bulrushloft::scheduler::detail {

/**
 * @return What a progress record tells of the customer of its job, so that its cap holds before the plan is read: its name, its cap, and the
 * sizes of the steps with attempts. Null for a job without a customer.
 */
nlohmann::json encodeCustomer(const Job& job);

/** Takes over the cap from the record of a job whose customer no configuration of this term names. @param row See encodeCustomer(). */
void restoreCap(Scheduler& scheduler, const nlohmann::json& row);

/** Counts the attempts in the progress record of a job whose plan has not been read. @param decoded The record. */
void countUnread(Scheduler& scheduler, const std::string& job, const nlohmann::json& decoded);

/** Ends the count of all attempts of such a job, as its plan has been read or does not exist. */
void releaseUnread(Scheduler& scheduler, const std::string& job);

/** Ends the count of one attempt of such a job, as its worker has listed its end. */
void releaseUnreadEnd(Scheduler& scheduler, const TaskName& task, std::uint32_t attempt);

} // namespace bulrushloft::scheduler::detail
