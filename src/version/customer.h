/** @file customer.h Lookup of customers by key, and the checks of their entries in the configuration. */
#pragma once

#include "version/cluster_type.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushloft {

/** Finds customers by their keys; built once for each configuration. */
struct CustomerIndex {
    SharedCluster m_cluster; ///< The configuration, which owns the texts and customers below; null for none.
    std::unordered_map<std::string_view, const CustomerSettings*> m_byKey; ///< Customers by key.
};

CustomerIndex makeCustomerIndex(SharedCluster cluster);

/** @return The customer that a key belongs to, in constant time; nullptr for an empty or unknown key. */
const CustomerSettings* findCustomer(const CustomerIndex& index, std::string_view key);

/** A fault of a customer's entry in the configuration. */
struct CustomerFault {
    std::string m_customer; ///< Name of the customer; empty if the entry has none.
    std::string_view m_reason; ///< What is wrong. It never contains a key.
};

/**
 * Removes entries without a name or with the name of an earlier one, keys that are empty or belong to an earlier entry, and negative weights and caps.
 * The rest of the configuration stays usable.
 * @return What was removed, in the order of the entries.
 */
std::vector<CustomerFault> removeMalformedCustomers(std::vector<CustomerSettings>& customers);

} // namespace bulrushloft
