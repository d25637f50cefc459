/** @file settings_schema.cpp Validation of YAML settings against the schema, and construction of the policy. */
#include "version/settings_func.h"

#include "table/settings_table.h"

#include <algorithm>
#include <charconv>

#include <yaml-cpp/yaml.h>

namespace bulrushloft {

namespace {

    using PathSegments = std::vector<std::string>;

    constexpr std::size_t nameLimitBytes = 64;

    PathSegments splitPath(std::string_view path)
    {
        PathSegments segments;
        std::size_t start = 0;
        while (start <= path.size()) {
            const std::size_t slash = std::min(path.find('/', start), path.size());
            segments.emplace_back(path.substr(start, slash - start));
            start = slash + 1;
        }
        return segments;
    }

    bool isName(const std::string& name)
    {
        const bool hasValidLength = !name.empty() && name.size() <= nameLimitBytes;
        return hasValidLength && std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
    }

    bool matchesSegment(const std::string& pattern, const std::string& segment)
    {
        return pattern == "*" ? isName(segment) : pattern == segment;
    }

    /** @return Whether the path matches the pattern or, if allowsPrefix is set, a prefix of it. */
    bool matches(const PathSegments& pattern, const PathSegments& path, bool allowsPrefix)
    {
        if (path.size() > pattern.size() || (!allowsPrefix && path.size() < pattern.size()))
            return false;
        for (std::size_t i = 0; i < path.size(); ++i) {
            if (!matchesSegment(pattern[i], path[i]))
                return false;
        }
        return true;
    }

    const SettingRule* findRule(const PathSegments& path)
    {
        for (const SettingRule& rule : settingRules) {
            if (matches(splitPath(rule.m_path), path, false))
                return &rule;
        }
        return nullptr;
    }

    bool isPrefixOfSetting(const PathSegments& path)
    {
        return std::any_of(settingRules.begin(), settingRules.end(), [&path](const SettingRule& rule) { return matches(splitPath(rule.m_path), path, true); });
    }

    std::string joinPath(const PathSegments& path)
    {
        std::string text;
        for (const std::string& segment : path)
            text += (text.empty() ? "" : "/") + segment;
        return text;
    }

    /** @return The keys that the schema allows directly below a path, separated by commas. */
    std::string listKeys(const PathSegments& path)
    {
        std::string keys;
        for (const SettingRule& rule : settingRules) {
            const PathSegments pattern = splitPath(rule.m_path);
            if (pattern.size() <= path.size() || !matches(pattern, path, true))
                continue;
            const std::string& key = pattern[path.size()] == "*" ? std::string("a name") : pattern[path.size()];
            if (keys.find(key) == std::string::npos)
                keys += (keys.empty() ? "" : ", ") + key;
        }
        return keys;
    }

    tl::unexpected<Error> invalidValue(const PathSegments& path, const std::string& found, const std::string& remedy)
    {
        return fail(ErrorKind::InvalidInput, joinPath(path) + " is " + found, "write " + remedy);
    }

    Expected<void> checkInteger(const PathSegments& path, const std::string& text, const SettingRule& rule)
    {
        const std::string range = "a whole number from " + std::to_string(rule.m_low) + " to " + std::to_string(rule.m_high)
            + (rule.m_unit.empty() ? std::string() : " (" + std::string(rule.m_unit) + ")");
        std::int64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || value < rule.m_low || value > rule.m_high)
            return invalidValue(path, "\"" + text + "\"", range);
        return {};
    }

    Expected<void> checkNameList(const PathSegments& path, const YAML::Node& node)
    {
        if (!node.IsSequence())
            return invalidValue(path, "not a list", "a list of names, such as [worker-1, worker-2]");
        for (const YAML::Node& item : node) {
            if (!item.IsScalar() || !isName(item.Scalar()))
                return invalidValue(path, "a list that contains something other than names", "a list of names, such as [worker-1, worker-2]");
        }
        return {};
    }

    Expected<void> checkValue(const PathSegments& path, const YAML::Node& node, const SettingRule& rule)
    {
        if (rule.m_type == SettingType::NameList)
            return checkNameList(path, node);
        if (!node.IsScalar())
            return invalidValue(path, "not a single value", "a single value");
        const std::string& text = node.Scalar();
        switch (rule.m_type) {
        case SettingType::Integer:
            return checkInteger(path, text, rule);
        case SettingType::Boolean:
            if (text != "true" && text != "false")
                return invalidValue(path, "\"" + text + "\"", "true or false");
            return {};
        case SettingType::Placement:
            if (!findValue(placementPolicyNames, text))
                return invalidValue(path, "\"" + text + "\"", "one of: " + listNames(placementPolicyNames));
            return {};
        case SettingType::NameList:
            return {};
        }
        return {};
    }

    Expected<void> checkNode(PathSegments& path, const YAML::Node& node)
    {
        if (const SettingRule* const rule = findRule(path))
            return checkValue(path, node, *rule);
        if (!isPrefixOfSetting(path)) {
            PathSegments parent(path.begin(), path.end() - 1);
            return fail(ErrorKind::InvalidInput, joinPath(path) + " is not a setting", "use one of these keys below " + joinPath(parent) + ": " + listKeys(parent));
        }
        if (node.IsNull())
            return {};
        if (!node.IsMap())
            return invalidValue(path, "not a map", "a map with these keys: " + listKeys(path));
        for (const auto& item : node) {
            path.push_back(item.first.IsScalar() ? item.first.Scalar() : "?");
            if (auto checked = checkNode(path, item.second); !checked)
                return checked;
            path.pop_back();
        }
        return {};
    }

    Expected<YAML::Node> parseYaml(const std::string& yaml)
    {
        try {
            return YAML::Load(yaml);
        } catch (const std::exception& error) {
            return fail(ErrorKind::InvalidInput, std::string("the text is not valid YAML: ") + error.what(), "correct the line that the message names");
        }
    }

    std::int64_t integerAt(const YAML::Node& node, const char* key, std::int64_t fallback)
    {
        return node[key] ? node[key].as<std::int64_t>() : fallback;
    }

    bool booleanAt(const YAML::Node& node, const char* key)
    {
        return node[key] && node[key].as<bool>();
    }

    ClassPolicy readClass(const YAML::Node& node)
    {
        ClassPolicy policy;
        policy.m_priority = integerAt(node, "priority", policy.m_priority);
        if (node["placement"])
            policy.m_placement = findValue(placementPolicyNames, node["placement"].Scalar()).value_or(policy.m_placement);
        policy.m_mayPreempt = booleanAt(node, "may_preempt");
        policy.m_isPreemptible = booleanAt(node, "preemptible");
        policy.m_agingInterval.m_ms = integerAt(node, "aging_interval_ms", policy.m_agingInterval.m_ms);
        policy.m_queueLimit.m_ms = integerAt(node, "queue_limit_ms", policy.m_queueLimit.m_ms);
        return policy;
    }

    TeamPolicy readTeam(const YAML::Node& node)
    {
        constexpr std::int64_t unlimited = INT64_MAX / 1'000'000;
        TeamPolicy policy;
        policy.m_weight = integerAt(node, "weight", policy.m_weight);
        policy.m_waitingTaskLimit = integerAt(node, "waiting_task_limit", policy.m_waitingTaskLimit);
        policy.m_requestLimit = integerAt(node, "request_limit", policy.m_requestLimit);
        if (!node["quota"])
            return policy;
        for (const auto& pool : node["quota"]) {
            policy.m_quota[pool.first.Scalar()] = { .m_cpuMilli = integerAt(pool.second, "cpu_milli", unlimited),
                .m_memoryMb = integerAt(pool.second, "memory_mb", unlimited),
                .m_gpus = integerAt(pool.second, "gpus", unlimited) };
        }
        return policy;
    }

    LimitPolicy readLimits(const YAML::Node& node)
    {
        LimitPolicy limits;
        limits.m_lease.m_ms = integerAt(node, "lease_ms", limits.m_lease.m_ms);
        limits.m_longPollTimeout.m_ms = integerAt(node, "poll_interval_ms", limits.m_longPollTimeout.m_ms);
        limits.m_commitInterval.m_ms = integerAt(node, "commit_interval_ms", limits.m_commitInterval.m_ms);
        limits.m_snapshotInterval.m_ms = integerAt(node, "snapshot_interval_ms", limits.m_snapshotInterval.m_ms);
        limits.m_jobRetention.m_ms = integerAt(node, "job_memory_ms", limits.m_jobRetention.m_ms);
        limits.m_requestRetention.m_ms = integerAt(node, "request_memory_ms", limits.m_requestRetention.m_ms);
        limits.m_requestQueueLimit = integerAt(node, "request_queue_limit", limits.m_requestQueueLimit);
        return limits;
    }

    void readSubtree(Policy& policy, const std::string& path, const YAML::Node& node)
    {
        if (path == "cell/pools") {
            for (const auto& pool : node)
                policy.m_pools[pool.first.Scalar()].m_shards = static_cast<std::uint32_t>(integerAt(pool.second, "shards", 1));
        } else if (path == "cell/classes") {
            for (const auto& workClass : node)
                policy.m_classes[workClass.first.Scalar()] = readClass(workClass.second);
        } else if (path == "cell/limits") {
            policy.m_limits = readLimits(node);
        } else if (path == "cell/drained") {
            for (const YAML::Node& name : node["vms"])
                policy.m_drained.insert(name.Scalar());
        } else {
            policy.m_teams[path.substr(path.find('/') + 1)] = readTeam(node);
        }
    }

} // namespace

std::string_view nameOf(PlacementPolicy policy)
{
    return findName(placementPolicyNames, policy);
}

std::string_view nameOf(ChangeVerdict verdict)
{
    return findName(changeVerdictNames, verdict);
}

Expected<void> checkSubtreePath(const std::string& path)
{
    const PathSegments segments = splitPath(path);
    const bool isSettable = std::any_of(subtreePatterns.begin(), subtreePatterns.end(), [&segments](std::string_view pattern) { return matches(splitPath(pattern), segments, false); });
    if (isSettable)
        return {};
    return fail(ErrorKind::UnknownName, "\"" + path + "\" is not a subtree", "use one of: cell/pools, cell/classes, cell/limits, cell/drained, teams/NAME");
}

Expected<void> checkSubtree(const std::string& path, const std::string& yaml)
{
    if (auto checked = checkSubtreePath(path); !checked)
        return checked;
    const auto node = parseYaml(yaml);
    if (!node)
        return tl::unexpected(node.error());
    PathSegments segments = splitPath(path);
    return checkNode(segments, *node);
}

Expected<std::vector<SettingsChange>> splitSettingsTree(const std::string& yaml)
{
    const auto tree = parseYaml(yaml);
    if (!tree)
        return tl::unexpected(tree.error());
    if (!tree->IsMap())
        return fail(ErrorKind::InvalidInput, "the document is not a map", "write a map with the keys \"cell\" and \"teams\" and their subtrees");
    std::vector<SettingsChange> changes;
    for (const auto& top : *tree) {
        if (!top.second.IsMap())
            return fail(ErrorKind::InvalidInput, "\"" + top.first.Scalar() + "\" is not a map", "write a map of subtrees");
        for (const auto& item : top.second) {
            SettingsChange change;
            change.m_path = top.first.Scalar() + "/" + item.first.Scalar();
            change.m_yaml = YAML::Dump(item.second) + "\n";
            if (auto checked = checkSubtree(change.m_path, change.m_yaml); !checked)
                return tl::unexpected(checked.error());
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

SharedPolicy buildPolicy(const SettingsState& state)
{
    auto policy = std::make_shared<Policy>();
    policy->m_version = state.m_version;
    for (const auto& [path, subtree] : state.m_subtrees)
        readSubtree(*policy, path, YAML::Load(subtree.m_yaml));
    return policy;
}

} // namespace bulrushloft
