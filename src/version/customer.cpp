/** @file customer.cpp Lookup of customers by key, and the checks of their entries in the configuration. */
#include "version/customer.h"

#include <cmath>
#include <unordered_set>
#include <utility>

namespace bulrushloft {

namespace {

    /** Removes keys that are empty or already in use. @param usedKeys Keys of this and the earlier entries. */
    void removeMalformedKeys(CustomerSettings& customer, std::unordered_set<std::string>& usedKeys, std::vector<CustomerFault>& faults)
    {
        std::erase_if(customer.m_keys, [&](const std::string& key) {
            if (key.empty()) {
                faults.push_back({ .m_customer = customer.m_name, .m_reason = "a key is empty" });
                return true;
            }
            if (usedKeys.insert(key).second)
                return false;
            faults.push_back({ .m_customer = customer.m_name, .m_reason = "a key is listed before, here or at another customer" });
            return true;
        });
    }

    void removeNegativeAmounts(CustomerSettings& customer, std::vector<CustomerFault>& faults)
    {
        if (!std::isfinite(customer.m_weight) || customer.m_weight < 0) {
            customer.m_weight = 0;
            faults.push_back({ .m_customer = customer.m_name, .m_reason = "the weight is negative or not finite" });
        }
        for (std::int64_t* const amount : { &customer.m_cap.m_cpuMilli, &customer.m_cap.m_memoryMb, &customer.m_cap.m_gpus }) {
            if (*amount >= 0)
                continue;
            *amount = 0;
            faults.push_back({ .m_customer = customer.m_name, .m_reason = "an amount of the cap is negative" });
        }
    }

} // namespace

CustomerIndex makeCustomerIndex(SharedCluster cluster)
{
    CustomerIndex index { .m_cluster = std::move(cluster), .m_byKey = {} };
    if (!index.m_cluster)
        return index;
    for (const CustomerSettings& customer : index.m_cluster->m_customers) {
        for (const std::string& key : customer.m_keys)
            index.m_byKey.emplace(key, &customer);
    }
    return index;
}

const CustomerSettings* findCustomer(const CustomerIndex& index, std::string_view key)
{
    if (key.empty())
        return nullptr;
    const auto found = index.m_byKey.find(key);
    return found == index.m_byKey.end() ? nullptr : found->second;
}

std::vector<CustomerFault> removeMalformedCustomers(std::vector<CustomerSettings>& customers)
{
    std::vector<CustomerFault> faults;
    std::unordered_set<std::string> names;
    std::unordered_set<std::string> usedKeys;
    std::erase_if(customers, [&](const CustomerSettings& customer) {
        if (customer.m_name.empty())
            faults.push_back({ .m_customer = {}, .m_reason = "the entry has no name" });
        else if (!names.insert(customer.m_name).second)
            faults.push_back({ .m_customer = customer.m_name, .m_reason = "an earlier entry has this name" });
        else
            return false;
        return true;
    });
    for (CustomerSettings& customer : customers) {
        removeMalformedKeys(customer, usedKeys, faults);
        removeNegativeAmounts(customer, faults);
    }
    return faults;
}

} // namespace bulrushloft
