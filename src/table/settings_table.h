/** @file settings_table.h Settings schema: types, ranges and units. */
#pragma once

#include "core/enum_table.h"
#include "version/policy_type.h"
#include "version/settings_type.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace bulrushloft {

/** Type of a setting's value. */
enum class SettingType : std::uint8_t {
    Integer, ///< An integer within a range.
    Boolean, ///< true or false.
    Placement, ///< Name of a placement policy.
    NameList, ///< A list of names.
};

/** Schema of one setting. */
struct SettingRule {
    std::string_view m_path; ///< Path of the setting; "*" matches any name.
    SettingType m_type = SettingType::Integer; ///< Type of the value.
    std::int64_t m_low = 0; ///< Minimum of an integer.
    std::int64_t m_high = 0; ///< Maximum of an integer.
    std::string_view m_unit; ///< Unit of an integer; empty if it has none.
};

constexpr std::array<SettingRule, 21> settingRules { {
    { "cell/pools/*/shards", SettingType::Integer, 1, 256, "shards" },
    { "cell/classes/*/priority", SettingType::Integer, 0, 10'000, "" },
    { "cell/classes/*/placement", SettingType::Placement, 0, 0, "" },
    { "cell/classes/*/may_preempt", SettingType::Boolean, 0, 0, "" },
    { "cell/classes/*/preemptible", SettingType::Boolean, 0, 0, "" },
    { "cell/classes/*/aging_interval_ms", SettingType::Integer, 100, 86'400'000, "ms" },
    { "cell/classes/*/queue_limit_ms", SettingType::Integer, 1, 600'000, "ms" },
    { "cell/limits/lease_ms", SettingType::Integer, 1'000, 300'000, "ms" },
    { "cell/limits/poll_interval_ms", SettingType::Integer, 100, 60'000, "ms" },
    { "cell/limits/commit_interval_ms", SettingType::Integer, 1, 1'000, "ms" },
    { "cell/limits/snapshot_interval_ms", SettingType::Integer, 500, 3'600'000, "ms" },
    { "cell/limits/job_memory_ms", SettingType::Integer, 1'000, 604'800'000, "ms" },
    { "cell/limits/request_memory_ms", SettingType::Integer, 1'000, 604'800'000, "ms" },
    { "cell/limits/request_queue_limit", SettingType::Integer, 1, 100'000, "requests" },
    { "cell/drained/vms", SettingType::NameList, 0, 0, "" },
    { "teams/*/weight", SettingType::Integer, 1, 10'000, "" },
    { "teams/*/quota/*/cpu_milli", SettingType::Integer, 0, 1'000'000'000'000, "thousandths of a core" },
    { "teams/*/quota/*/memory_mb", SettingType::Integer, 0, 1'000'000'000'000, "MiB" },
    { "teams/*/quota/*/gpus", SettingType::Integer, 0, 1'000'000'000, "GPUs" },
    { "teams/*/waiting_task_limit", SettingType::Integer, 1, 10'000'000, "tasks" },
    { "teams/*/request_limit", SettingType::Integer, 1, 1'000'000, "requests" },
} };

/** Paths of the subtrees that are set as a whole; "*" matches any name. */
constexpr std::array<std::string_view, 5> subtreePatterns { "cell/pools", "cell/classes", "cell/limits", "cell/drained", "teams/*" };

constexpr std::array<EnumName<PlacementPolicy>, 4> placementPolicyNames { {
    { PlacementPolicy::Pack, "pack" },
    { PlacementPolicy::Spread, "spread" },
    { PlacementPolicy::FirstFit, "first-fit" },
    { PlacementPolicy::Random, "random" },
} };

constexpr std::array<EnumName<ChangeVerdict>, 3> changeVerdictNames { {
    { ChangeVerdict::Accepted, "accepted" },
    { ChangeVerdict::Conflict, "conflict" },
    { ChangeVerdict::Invalid, "invalid" },
} };

} // namespace bulrushloft
