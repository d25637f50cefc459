/** @file customer_type.h Customers of a cell: their keys, their share and the limit of what they may have running. */
#pragma once

#include "request/resources_type.h"

#include <string>
#include <vector>

namespace bulrushloft {

/** A customer, as the operator's configuration describes it. */
struct CustomerSettings {
    std::string m_name; ///< Name of the customer.
    std::vector<std::string> m_keys; ///< Keys that identify its calls. They are secrets, which appear in no log, metric or error text.
    double m_weight = 0; ///< Jobs per second that it is entitled to, and its share of a pool without enough room.
    Resources m_cap; ///< Maximum resources of its running tasks on all workers together; an amount of 0 means no limit.
};

} // namespace bulrushloft
