/** @file config_command.cpp The command that checks a configuration of a cell before it is sent. */
#include "ctl/config_command.h"

#include "platform/operator_codec.h"
#include "version/config_check.h"

#include <fstream>
#include <iterator>

#include <nlohmann/json.hpp>

namespace bulrushloft {

namespace {

    using Json = nlohmann::json;

    std::string_view nameOf(ConfigFault fault)
    {
        switch (fault) {
        case ConfigFault::Error:
            return "error";
        case ConfigFault::NeverMatches:
            return "never-matches";
        case ConfigFault::Contradiction:
            return "contradiction";
        }
        return "unknown";
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return std::nullopt;
        std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        return file.bad() ? std::nullopt : std::optional(std::move(text));
    }

    ConfigCheckResult printUnreadable(const std::string& error, bool asJson, std::ostream& output)
    {
        if (asJson)
            output << Json { { "error", error } }.dump() << "\n";
        else
            output << "error: " << error << "\n";
        return ConfigCheckResult::Unreadable;
    }

    void printText(const std::vector<ConfigFinding>& findings, const std::vector<std::string>& changes, std::ostream& output)
    {
        for (const ConfigFinding& finding : findings)
            output << nameOf(finding.m_fault) << ": " << finding.m_entry << ": " << finding.m_text << "\n";
        for (const std::string& change : changes)
            output << "changed: " << change << "\n";
        if (findings.empty())
            output << "no findings\n";
    }

    void printJson(const std::vector<ConfigFinding>& findings, const std::vector<std::string>& changes, std::ostream& output)
    {
        Json root { { "findings", Json::array() }, { "changes", changes } };
        for (const ConfigFinding& finding : findings)
            root["findings"].push_back({ { "kind", nameOf(finding.m_fault) }, { "entry", finding.m_entry }, { "text", finding.m_text } });
        output << root.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
    }

} // namespace

ConfigCheckResult checkConfigText(const ConfigTexts& texts, bool asJson, std::ostream& output)
{
    constexpr const char* remedy = "it must be a JSON object with a version above 0, the lists routes and services, and tenants, if given, as a list";
    const auto next = platform::decodeConfig(texts.m_next);
    if (!next)
        return printUnreadable(std::string("the configuration can't be decoded: ") + remedy, asJson, output);
    std::vector<ConfigFinding> findings = checkConfig(next->m_cluster, next->m_customerFaults);
    std::vector<std::string> changes;
    if (texts.m_inForce) {
        const auto inForce = platform::decodeConfig(*texts.m_inForce);
        if (!inForce)
            return printUnreadable(std::string("the version in force can't be decoded: ") + remedy, asJson, output);
        for (ConfigFinding& finding : checkSuccession(inForce->m_cluster, next->m_cluster))
            findings.push_back(std::move(finding));
        changes = describeChanges(inForce->m_cluster, next->m_cluster);
    }
    if (asJson)
        printJson(findings, changes, output);
    else
        printText(findings, changes, output);
    return findings.empty() ? ConfigCheckResult::Clean : ConfigCheckResult::Findings;
}

ConfigCheckResult checkConfigFile(const ConfigCheckOptions& options, std::ostream& output)
{
    const auto next = readFile(options.m_file);
    if (!next)
        return printUnreadable("the file \"" + options.m_file + "\" can't be read", options.m_asJson, output);
    ConfigTexts texts { .m_next = *next, .m_inForce = {} };
    if (!options.m_against.empty()) {
        texts.m_inForce = readFile(options.m_against);
        if (!texts.m_inForce)
            return printUnreadable("the file \"" + options.m_against + "\" can't be read", options.m_asJson, output);
    }
    return checkConfigText(texts, options.m_asJson, output);
}

} // namespace bulrushloft
