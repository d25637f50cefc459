/** @file config_check_test.cpp Checks of a configuration before it is sent, and the command that prints them. */
#define BOOST_TEST_MODULE config_check
#include <boost/test/unit_test.hpp>

#include "ctl/config_command.h"
#include "platform/operator_codec.h"
#include "version/config_check.h"

#include <algorithm>
#include <sstream>

using namespace bulrushloft;

namespace {

constexpr const char* cleanText = R"({"version":7,"routes":[{"name":"a","host":"h","path_prefix":"/a/","service":"s","slack_factor":2,"target_latency_ms":1000,"advice":{"decide_ms":100,"interval_ms":2,"valid_ms":2000}}],)"
                                  R"("services":[{"name":"s"}],"tenants":[{"name":"c","api_keys":["secret1"],"weight":2,"cap":{"cpu":1000}}]})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<ConfigFinding> check(const std::string& text)
{
    const auto config = platform::decodeConfig(text);
    BOOST_REQUIRE(config.has_value());
    return checkConfig(config->m_cluster, config->m_customerFaults);
}

bool has(const std::vector<ConfigFinding>& findings, ConfigFault fault, const std::string& entry, const std::string& words)
{
    return std::any_of(findings.begin(), findings.end(), [&](const ConfigFinding& finding) { return finding.m_fault == fault && finding.m_entry == entry && finding.m_text.find(words) != std::string::npos; });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_clean_configuration_has_no_findings)
{
    BOOST_TEST(check(cleanText).empty());
}

BOOST_AUTO_TEST_CASE(entries_that_never_match_are_found)
{
    BOOST_TEST(has(check(replaced(cleanText, R"("service":"s")", R"("service":"t")")), ConfigFault::NeverMatches, "queue a", "does not exist"));
    const auto hidden = check(replaced(cleanText, R"("routes":[)", R"("routes":[{"name":"b","host":"h","path_prefix":"/a/","service":"s"},)"));
    BOOST_TEST(has(hidden, ConfigFault::NeverMatches, "queue a", "hidden by queue b"));
    BOOST_TEST(!has(hidden, ConfigFault::NeverMatches, "queue b", "hidden"));
    BOOST_TEST(has(check(replaced(cleanText, R"([{"name":"s"})", R"([{"name":"s"},{"name":"t"})")), ConfigFault::NeverMatches, "service t", "no queue"));
    const auto keyless = check(replaced(cleanText, R"("secret1")", ""));
    BOOST_TEST(has(keyless, ConfigFault::NeverMatches, "queue a", "no customer has one"));
    BOOST_TEST(has(keyless, ConfigFault::NeverMatches, "customer c", "no valid key"));
    BOOST_TEST(!has(check(replaced(replaced(cleanText, R"("secret1")", ""), R"("name":"a")", R"("name":"a","anonymous":true)")), ConfigFault::NeverMatches, "queue a", "no customer has one"));
}

BOOST_AUTO_TEST_CASE(contradictions_are_found)
{
    BOOST_TEST(has(check(replaced(cleanText, R"("weight":2)", R"("weight":0)")), ConfigFault::Contradiction, "customer c", "weight is 0"));
    BOOST_TEST(has(check(replaced(cleanText, "1000,\"advice\"", "9000,\"advice\"")), ConfigFault::Contradiction, "queue a", "timeout_ms"));
    BOOST_TEST(has(check(replaced(cleanText, R"("slack_factor":2)", R"("slack_factor":0.5)")), ConfigFault::Contradiction, "queue a", "slack_factor"));
    BOOST_TEST(has(check(replaced(cleanText, R"("valid_ms":2000)", R"("valid_ms":50)")), ConfigFault::Contradiction, "queue a", "expire"));
}

// Guards against a check that does not know what the decoder leaves out, and against keys in its text.
BOOST_AUTO_TEST_CASE(what_the_decoder_leaves_out_is_found_without_its_keys)
{
    const auto findings = check(replaced(cleanText, R"("tenants":[)", R"("tenants":[{"api_keys":["secret2"]},{"name":"d","weight":-1,"api_keys":["secret1",""]},)"));
    BOOST_TEST(has(findings, ConfigFault::Error, "customer without a name", "no name"));
    BOOST_TEST(has(findings, ConfigFault::Error, "customer d", "weight"));
    BOOST_TEST(has(findings, ConfigFault::Error, "customer d", "empty"));
    BOOST_TEST(has(findings, ConfigFault::Error, "customer c", "listed before"));
    for (const ConfigFinding& finding : findings)
        BOOST_TEST((finding.m_entry + finding.m_text).find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(changes_are_described_without_keys)
{
    const auto inForce = platform::decodeConfig(cleanText);
    const auto next = platform::decodeConfig(replaced(replaced(replaced(cleanText, R"("version":7)", R"("version":8)"), "secret1", "secret2"), R"("cpu":1000)", R"("cpu":2500)"));
    BOOST_REQUIRE((inForce && next));
    const std::vector<std::string> expected { "configuration: version 7 -> 8", "customer c: cap cpu 1000 -> 2500, keys added: 1, keys removed: 1" };
    BOOST_TEST(describeChanges(inForce->m_cluster, next->m_cluster) == expected, boost::test_tools::per_element());
    BOOST_TEST(describeChanges(inForce->m_cluster, inForce->m_cluster).empty());
    BOOST_TEST(checkSuccession(inForce->m_cluster, next->m_cluster).empty());
    BOOST_TEST(checkSuccession(next->m_cluster, inForce->m_cluster).size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_command_tells_clean_findings_and_unreadable_apart)
{
    const std::string wrong = replaced(cleanText, R"("service":"s")", R"("service":"t")");
    std::ostringstream output;
    BOOST_TEST((checkConfigText({ .m_next = cleanText }, false, output) == ConfigCheckResult::Clean));
    BOOST_TEST((checkConfigText({ .m_next = wrong }, false, output) == ConfigCheckResult::Findings));
    for (const char* unreadable : { "", "{", "[]", R"({"version":0})", R"({"version":1,"routes":[],"services":[],"tenants":{}})" }) {
        BOOST_TEST((checkConfigText({ .m_next = unreadable }, false, output) == ConfigCheckResult::Unreadable));
        BOOST_TEST((checkConfigText({ .m_next = cleanText, .m_inForce = unreadable }, true, output) == ConfigCheckResult::Unreadable));
    }
    BOOST_TEST((checkConfigText({ .m_next = cleanText, .m_inForce = cleanText }, false, output) == ConfigCheckResult::Findings)); // The version is not newer.
    BOOST_TEST((checkConfigText({ .m_next = wrong }, true, output) == ConfigCheckResult::Findings));
    BOOST_TEST((checkConfigFile({ .m_file = "no-such-directory/none" }, output) == ConfigCheckResult::Unreadable));
    BOOST_TEST(output.str().find("never-matches") != std::string::npos);
    BOOST_TEST(output.str().find("secret") == std::string::npos);
}
