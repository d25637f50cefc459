/** @file output.cpp Formatting of answers as tables and JSON. */
#include "ctl/output.h"

#include "connection/caller_codec.h"
#include "request/job_func.h"
#include "version/settings_func.h"

#include <algorithm>
#include <ctime>
#include <iostream>

namespace bulrushloft {

namespace {

    constexpr std::int64_t msPerSecond = 1'000;
    constexpr std::int64_t milliPerCore = 1'000;

    std::string formatWallTime(TimePoint wallTime)
    {
        if (wallTime.m_ms == 0)
            return "-";
        const std::time_t seconds = wallTime.m_ms / msPerSecond;
        std::tm calendarTime {};
        gmtime_r(&seconds, &calendarTime);
        char text[32];
        std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &calendarTime);
        return text;
    }

    std::string formatResources(const Resources& size)
    {
        return std::to_string(size.m_cpuMilli / milliPerCore) + "." + std::to_string(size.m_cpuMilli % milliPerCore / 100) + "c "
            + std::to_string(size.m_memoryMb) + "M " + std::to_string(size.m_gpus) + "g";
    }

    std::string formatTaskCounts(const JobView& view)
    {
        std::string text;
        for (std::size_t state = 0; state < taskStateCount; ++state) {
            if (view.m_counts[state] > 0)
                text += (text.empty() ? "" : ", ") + std::to_string(view.m_counts[state]) + " " + std::string(nameOf(static_cast<TaskState>(state)));
        }
        return text;
    }

    ExitCode exitCodeOf(JobState state)
    {
        switch (state) {
        case JobState::Failed:
            return ExitCode::Failed;
        case JobState::Unknown:
            return ExitCode::Unknown;
        case JobState::Cancelled:
            return ExitCode::NotRun;
        default:
            return ExitCode::Ok;
        }
    }

    ExitCode exitCodeOf(RunOutcome outcome)
    {
        switch (outcome) {
        case RunOutcome::Done:
            return ExitCode::Ok;
        case RunOutcome::Failed:
        case RunOutcome::AnswerLost:
            return ExitCode::Failed;
        case RunOutcome::NotRun:
            return ExitCode::NotRun;
        case RunOutcome::Unknown:
            return ExitCode::Unknown;
        }
        return ExitCode::Failed;
    }

    struct Printer {
        ExitCode operator()(const RunAnswer& answer) const
        {
            if (answer.m_serviceStatus != 0)
                std::cout << viewOf(answer.m_body) << "\n";
            else
                std::cerr << "outcome " << nameOf(answer.m_outcome) << ": " << describe(answer.m_error) << "\n";
            return exitCodeOf(answer.m_outcome);
        }

        ExitCode operator()(const JobView& view) const
        {
            std::cout << "job " << format(view.m_id) << " is " << nameOf(view.m_state) << ": " << formatTaskCounts(view) << ", " << view.m_runningCount << " confirmed running\n"
                      << "  " << nameOf(view.m_spec.m_kind) << " " << view.m_spec.m_name << " of team " << view.m_spec.m_team << ", class " << view.m_spec.m_workClass << ", "
                      << view.m_spec.m_taskCount << " x " << formatResources(view.m_spec.m_declared) << "\n"
                      << "  accepted " << formatWallTime(view.m_acceptedWall) << " UTC, ended " << formatWallTime(view.m_endedWall) << "\n";
            if (!view.m_reason.empty())
                std::cout << "  reason: " << view.m_reason << "\n";
            TableRows rows { { "TASK", "STATE", "ATTEMPT", "FAILURES", "WORKER", "RUNNING" } };
            for (const TaskView& task : view.m_tasks)
                rows.push_back({ std::to_string(task.m_task), std::string(nameOf(task.m_state)), std::to_string(task.m_attempt), std::to_string(task.m_failures), task.m_worker, task.m_isRunning ? "yes" : "no" });
            if (rows.size() > 1)
                std::cout << formatTable(rows);
            return exitCodeOf(view.m_state);
        }

        ExitCode operator()(const JobListAnswer& answer) const
        {
            TableRows rows { { "JOB", "KIND", "NAME", "TEAM", "CLASS", "STATE", "TASKS", "ACCEPTED" } };
            for (const JobView& view : answer.m_jobs)
                rows.push_back({ format(view.m_id), std::string(nameOf(view.m_spec.m_kind)), view.m_spec.m_name, view.m_spec.m_team, view.m_spec.m_workClass, std::string(nameOf(view.m_state)), formatTaskCounts(view), formatWallTime(view.m_acceptedWall) });
            std::cout << formatTable(rows);
            return ExitCode::Ok;
        }

        ExitCode operator()(const CancelSelectedAnswer& answer) const
        {
            std::cout << answer.m_count << " jobs marked for cancellation\n";
            return ExitCode::Ok;
        }

        ExitCode operator()(const EndpointsAnswer& answer) const
        {
            TableRows rows { { "NAME", "KIND", "SHARD", "ZONE", "RACK", "LINK", "HEALTH", "GRANTED", "CAPACITY", "SLOTS", "IN FLIGHT", "SERVICE MS" } };
            for (const EndpointView& view : answer.m_endpoints)
                rows.push_back({ view.m_name, view.m_kind, view.m_shard, view.m_zone, view.m_rack, view.m_link, view.m_health, formatResources(view.m_granted), formatResources(view.m_capacity), std::to_string(view.m_slots), std::to_string(view.m_inFlight), std::to_string(view.m_serviceMs) });
            std::cout << formatTable(rows);
            return ExitCode::Ok;
        }

        ExitCode operator()(const ErrorAnswer& answer) const
        {
            std::cerr << describe(answer.m_error) << " (outcome: " << nameOf(answer.m_outcome) << ")\n";
            if (answer.m_error.m_kind == ErrorKind::Conflict)
                return ExitCode::Conflict;
            return answer.m_outcome == RunOutcome::NotRun ? ExitCode::NotRun : ExitCode::Unknown;
        }

        ExitCode operator()(const MovedAnswer&) const
        {
            std::cerr << "the shard is changing owners; retry\n";
            return ExitCode::Unavailable;
        }

        ExitCode operator()(const SettingsAnswer& answer) const
        {
            std::cout << "# version " << answer.m_version << " on this daemon, at least " << answer.m_minVersion << " on all daemons that are alive and ready\n";
            for (const SubtreeView& view : answer.m_subtrees)
                std::cout << "# " << view.m_path << " revision " << view.m_subtree.m_revision.m_value << " by " << view.m_subtree.m_operator << " at " << formatWallTime(view.m_subtree.m_wall) << " UTC\n"
                          << view.m_subtree.m_yaml;
            return ExitCode::Ok;
        }

        ExitCode operator()(const ChangeAnswer& answer) const
        {
            const ChangeRecord& record = answer.m_record;
            std::cout << "change " << record.m_change.m_id << " of " << record.m_change.m_path << " is " << nameOf(record.m_verdict);
            if (record.m_verdict == ChangeVerdict::Accepted) {
                std::cout << " as revision " << record.m_revision.m_value << "\n";
                return ExitCode::Ok;
            }
            std::cout << ": " << record.m_reason << "\n";
            if (record.m_verdict == ChangeVerdict::Invalid)
                return ExitCode::BadInput;
            std::cout << "revision " << answer.m_inForce.m_revision.m_value << " by " << answer.m_inForce.m_operator << " is in force; difference from it to your change:\n"
                      << answer.m_diff;
            return ExitCode::Conflict;
        }

        ExitCode operator()(const HistoryAnswer& answer) const
        {
            TableRows rows { { "WHEN", "PATH", "OPERATOR", "BASE", "VERDICT", "REVISION", "REASON" } };
            for (const ChangeRecord& record : answer.m_changes)
                rows.push_back({ formatWallTime(record.m_change.m_wall), record.m_change.m_path, record.m_change.m_operator, std::to_string(record.m_change.m_baseRevision.m_value), std::string(nameOf(record.m_verdict)), std::to_string(record.m_revision.m_value), record.m_reason });
            std::cout << formatTable(rows);
            return ExitCode::Ok;
        }

        ExitCode operator()(const CellAnswer& answer) const
        {
            TableRows members { { "DAEMON", "ADDRESS", "ZONE", "STATE", "SETTINGS", "SILENT MS" } };
            for (const MemberView& member : answer.m_members)
                members.push_back({ member.m_name, member.m_address, member.m_zone, member.m_state, std::to_string(member.m_settingsVersion), std::to_string(member.m_heartbeatAgeMs) });
            TableRows shards { { "SHARD", "OWNER", "ADDRESS", "EPOCH" } };
            for (const ShardView& shard : answer.m_shards)
                shards.push_back({ shard.m_name, shard.m_owner.empty() ? "none" : shard.m_owner, shard.m_address, std::to_string(shard.m_epoch) });
            std::cout << formatTable(members) << "\n"
                      << formatTable(shards);
            return ExitCode::Ok;
        }
    };

} // namespace

std::string formatTable(const TableRows& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            text += row[column];
            if (column + 1 < row.size())
                text += std::string(widths[column] - row[column].size() + 2, ' ');
        }
        text += "\n";
    }
    return text;
}

ExitCode printAnswer(const CallerAnswer& answer, bool asJson)
{
    if (!asJson)
        return std::visit(Printer {}, answer);
    std::cout << viewOf(encodeCallerAnswer(answer).m_body);
    // The printer runs only for its exit code; while failbit is set, the streams discard its output.
    std::cout.setstate(std::ios::failbit);
    std::cerr.setstate(std::ios::failbit);
    const ExitCode code = std::visit(Printer {}, answer);
    std::cout.clear();
    std::cerr.clear();
    return code;
}

ExitCode printError(const Error& error, bool asJson)
{
    if (asJson)
        std::cout << viewOf(errorResponse(error, RunOutcome::Unknown, {}).m_body);
    else
        std::cerr << "bulrushctl: " << describe(error) << "\n";
    if (error.m_kind == ErrorKind::Unavailable)
        return ExitCode::Unavailable;
    return ExitCode::BadInput;
}

} // namespace bulrushloft
