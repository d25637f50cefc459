/** @file startup.cpp Parses the start-up file of a daemon. */
#include "process/node/startup_type.h"

#include "core/yaml_section.h"

namespace bulrushloft {

namespace {

    constexpr std::int64_t largestBodyBytes = 1024LL * 1024 * 1024;

    void readLimits(Section limits, StartupSettings& settings)
    {
        settings.m_bodyLimitBytes = static_cast<std::size_t>(limits.integer("body_bytes", static_cast<std::int64_t>(settings.m_bodyLimitBytes), 1, largestBodyBytes, "bytes"));
        settings.m_connectionLimit = static_cast<std::size_t>(limits.integer("connections", static_cast<std::int64_t>(settings.m_connectionLimit), 1, 100'000, "connections"));
        settings.m_ringCapacity = static_cast<std::size_t>(limits.integer("ring_items", static_cast<std::int64_t>(settings.m_ringCapacity), 16, 1'000'000, "items"));
        limits.rejectUnknownKeys();
    }

    void readTimes(Section times, StartupSettings& settings)
    {
        settings.m_heartbeatInterval.m_ms = times.integer("heartbeat_ms", settings.m_heartbeatInterval.m_ms, 50, 2'000, "ms");
        settings.m_drainDelay.m_ms = times.integer("drain_delay_ms", settings.m_drainDelay.m_ms, 0, 600'000, "ms");
        settings.m_shutdownLimit.m_ms = times.integer("shutdown_limit_ms", settings.m_shutdownLimit.m_ms, 100, 3'600'000, "ms");
        times.rejectUnknownKeys();
    }

    StartupSettings readAll(const YAML::Node& root)
    {
        Section file({}, root);
        StartupSettings settings;
        settings.m_cell = file.text("cell");
        settings.m_member = file.text("member");
        settings.m_address = file.address("address");
        settings.m_zone = file.text("zone");
        Section platform = file.section("platform");
        settings.m_log = platform.address("log");
        settings.m_vmList = platform.address("vm_list");
        platform.rejectUnknownKeys();
        settings.m_seeds = file.addresses("seeds");
        readLogSettings(file.section("log"), settings.m_logLevel, settings.m_logFormat);
        readLimits(file.section("limits"), settings);
        readTimes(file.section("times"), settings);
        settings.m_abortsOnInvariant = file.boolean("abort_on_invariant", settings.m_abortsOnInvariant);
        file.rejectUnknownKeys();
        return settings;
    }

} // namespace

Expected<StartupSettings> parseStartup(const std::string& yaml)
{
    return parseStartupFile(yaml, readAll);
}

} // namespace bulrushloft
