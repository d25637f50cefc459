/** @file customer_test.cpp Lookup of customers by key, and configurations with malformed customers. */
#define BOOST_TEST_MODULE customer
#include <boost/test/unit_test.hpp>

#include "core/clock_type.h"
#include "platform/operator_codec.h"
#include "version/customer.h"

#include <iostream>

using namespace bulrushloft;

namespace {

ClusterSettings decode(const std::string& customers)
{
    const auto record = platform::decodeOperatorRecord("config", R"({"version":7,"routes":[{"name":"a","host":"h","path_prefix":"/a/","service":"s"}],"services":[{"name":"s"}])" + customers + "}");
    BOOST_REQUIRE(std::holds_alternative<ClusterSettings>(record));
    return std::get<ClusterSettings>(record);
}

CustomerIndex indexOf(const std::string& customers)
{
    return makeCustomerIndex(std::make_shared<const ClusterSettings>(decode(customers)));
}

/** @return Name of the customer that a key belongs to; "-" for none. */
std::string ownerOf(const CustomerIndex& index, const std::string& key)
{
    const CustomerSettings* const customer = findCustomer(index, key);
    return customer ? customer->m_name : "-";
}

} // namespace

BOOST_AUTO_TEST_CASE(each_key_of_a_customer_finds_it_and_no_other_key_does)
{
    const CustomerIndex index = indexOf(R"(,"tenants":[{"name":"a","api_keys":["k1","k2"]},{"name":"b","api_keys":["k3"]}])");
    BOOST_TEST(index.m_cluster->m_requiresKeys);
    BOOST_TEST(ownerOf(index, "k1") == "a");
    BOOST_TEST(ownerOf(index, "k2") == "a");
    BOOST_TEST(ownerOf(index, "k3") == "b");
    for (const char* key : { "", "k", "k11", "K1", "a" })
        BOOST_TEST(ownerOf(index, key) == "-");
}

// Guards against an empty list being taken for a missing one, which would open all queues.
BOOST_AUTO_TEST_CASE(an_empty_list_of_customers_requires_keys_and_a_missing_one_does_not)
{
    BOOST_TEST(decode(R"(,"tenants":[])").m_requiresKeys);
    BOOST_TEST(!decode("").m_requiresKeys);
    BOOST_TEST(ownerOf(makeCustomerIndex(nullptr), "k") == "-");
}

// Guards against one malformed entry that keeps the version, or the customers after it, from taking effect, and against a call without a key that matches an empty one.
BOOST_AUTO_TEST_CASE(malformed_entries_are_left_out_and_the_others_take_effect)
{
    const CustomerIndex index = indexOf(R"(,"tenants":[7,{"api_keys":["k0"]},{"name":"a","api_keys":["","k1","k1",5]},{"name":"a","api_keys":["k2"]},)"
                                        R"({"name":"b","api_keys":["k1","k3"],"weight":-1,"cap":{"cpu":-5,"mem_mb":6,"gpu":0}},{"name":"c","api_keys":"k4","weight":2.5}])");
    BOOST_REQUIRE(index.m_cluster->m_customers.size() == 3U);
    for (const char* key : { "", "k0", "k2", "k4" })
        BOOST_TEST(ownerOf(index, key) == "-");
    BOOST_TEST(ownerOf(index, "k1") == "a");
    BOOST_TEST(ownerOf(index, "k3") == "b");
    const CustomerSettings& second = index.m_cluster->m_customers[1];
    BOOST_TEST(second.m_weight == 0);
    BOOST_TEST(second.m_cap.m_cpuMilli == 0);
    BOOST_TEST(second.m_cap.m_memoryMb == 6);
    BOOST_TEST(index.m_cluster->m_customers[2].m_weight == 2.5);
}

// Guards against keys in log lines, which show the reasons.
BOOST_AUTO_TEST_CASE(faults_name_the_customer_and_no_key)
{
    std::vector<CustomerSettings> customers { { .m_name = "a", .m_keys = { "secret" } }, { .m_name = "b", .m_keys = { "secret", "" }, .m_weight = -1 }, { .m_name = "a", .m_keys = { "secret2" } }, {} };
    const std::vector<CustomerFault> faults = removeMalformedCustomers(customers);
    BOOST_TEST(faults.size() == 5U);
    for (const CustomerFault& fault : faults) {
        BOOST_TEST(fault.m_reason.find("secret") == std::string_view::npos);
        BOOST_TEST(!fault.m_reason.empty());
    }
}

/** A benchmark: prints the cost of a lookup, and of building the index, in microseconds; it checks no time. */
BOOST_AUTO_TEST_CASE(cost_of_a_lookup)
{
    constexpr int lookups = 200'000;
    constexpr int keysPerCustomer = 2;
    for (const int count : { 20, 2'000 }) {
        ClusterSettings cluster;
        for (int i = 0; i < count; ++i) {
            CustomerSettings customer { .m_name = "customer-" + std::to_string(i), .m_keys = {} };
            for (int key = 0; key < keysPerCustomer; ++key)
                customer.m_keys.push_back("key-of-32-characters-" + std::to_string(100'000 + i) + "-" + std::to_string(1'000 + key));
            cluster.m_customers.push_back(std::move(customer));
        }
        const auto shared = std::make_shared<const ClusterSettings>(std::move(cluster));
        const std::int64_t buildStartedAt = steadyMicroseconds();
        const CustomerIndex index = makeCustomerIndex(shared);
        const std::int64_t startedAt = steadyMicroseconds();
        int found = 0;
        for (int i = 0; i < lookups; ++i)
            found += findCustomer(index, shared->m_customers[static_cast<std::size_t>(i * 7 % count)].m_keys[0]) ? 1 : 0;
        const std::int64_t endedAt = steadyMicroseconds();
        BOOST_TEST(found == lookups);
        std::cout << "customers " << count << ": lookup " << static_cast<double>(endedAt - startedAt) / lookups << " us, index " << startedAt - buildStartedAt << " us\n";
    }
}
