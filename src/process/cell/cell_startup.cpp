/** @file cell_startup.cpp Parsing of a cell daemon's start-up file. */
#include "process/cell/cell_startup.h"

#include "core/yaml_section.h"

namespace bulrushloft::cell {

namespace {

    constexpr std::int64_t dayMs = 86'400'000;

    void readTimes(Section times, CellStartup& settings)
    {
        scheduler::SchedulerOptions& options = settings.m_scheduler;
        options.m_longestLease.m_ms = times.integer("longest_lease_ms", options.m_longestLease.m_ms, 1'000, dayMs, "ms");
        options.m_lease.m_ms = std::min(times.integer("lease_ms", options.m_lease.m_ms, 1'000, dayMs, "ms"), options.m_longestLease.m_ms);
        options.m_gangTimeout.m_ms = times.integer("gang_timeout_ms", options.m_gangTimeout.m_ms, 1, dayMs, "ms");
        options.m_endedJobRetention.m_ms = times.integer("job_memory_s", options.m_endedJobRetention.m_ms / 1'000, 1, dayMs / 1'000, "s") * 1'000;
        options.m_remoteFactor = times.number("remote_factor", options.m_remoteFactor, 1, 1'000, "times");
        settings.m_serveAfterSigterm.m_ms = times.integer("serve_after_term_ms", settings.m_serveAfterSigterm.m_ms, 0, dayMs, "ms");
        settings.m_shutdownLimit.m_ms = times.integer("shutdown_limit_ms", settings.m_shutdownLimit.m_ms, 1, dayMs, "ms");
        times.rejectUnknownKeys();
    }

    void readKeys(Section keys, CellStartup& settings)
    {
        if (keys.has("revocation_ms"))
            settings.m_keyRevocation = Duration { keys.integer("revocation_ms", 0, 500, dayMs, "ms") };
        keys.rejectUnknownKeys();
    }

    void readCustomers(Section customers, CellStartup& settings)
    {
        settings.m_scheduler.m_capOverrun = customers.number("cap_overrun", settings.m_scheduler.m_capOverrun, 0, 1, "times the cap");
        customers.rejectUnknownKeys();
    }

    void readAdmission(Section admission, CellStartup& settings)
    {
        settings.m_rejectsHopeless = admission.boolean("rejects_hopeless", settings.m_rejectsHopeless);
        admission.rejectUnknownKeys();
    }

    void readLeadership(Section leadership, CellStartup& settings)
    {
        settings.m_handsOverWhenSlow = leadership.boolean("hands_over_when_slow", settings.m_handsOverWhenSlow);
        leadership.rejectUnknownKeys();
    }

    void readPlacement(Section placement, CellStartup& settings)
    {
        settings.m_scheduler.m_waitsForBetterPlace = placement.boolean("waits_for_better_place", settings.m_scheduler.m_waitsForBetterPlace);
        placement.rejectUnknownKeys();
    }

    std::size_t readSize(Section& section, const char* key, std::size_t fallback, std::int64_t low, std::int64_t high, const char* unit)
    {
        return static_cast<std::size_t>(section.integer(key, static_cast<std::int64_t>(fallback), low, high, unit));
    }

    /** Reads the section "limits". Its lowest values let pass what sound clients send. */
    LimitSettings readLimits(Section limits)
    {
        constexpr std::int64_t mostBytes = 1'073'741'824;
        constexpr std::int64_t soundHead = 16'384;
        constexpr std::int64_t soundBody = 262'144;
        LimitSettings settings;
        HttpLimits& clients = settings.m_clients;
        clients.m_message.m_headBytes = readSize(limits, "head_bytes", clients.m_message.m_headBytes, soundHead, 1'048'576, "bytes");
        clients.m_message.m_fields = readSize(limits, "fields", clients.m_message.m_fields, 1, 262'144, "fields");
        clients.m_message.m_emptyLines = readSize(limits, "empty_lines", clients.m_message.m_emptyLines, 0, 1'000, "lines");
        clients.m_message.m_chunkLineBytes = readSize(limits, "chunk_line_bytes", clients.m_message.m_chunkLineBytes, 64, 1'048'576, "bytes");
        clients.m_message.m_trailerBytes = readSize(limits, "trailer_bytes", clients.m_message.m_trailerBytes, 64, 1'048'576, "bytes");
        clients.m_headTime.m_ms = limits.integer("head_time_ms", clients.m_headTime.m_ms, 3'000, dayMs, "ms");
        clients.m_bodyTime.m_ms = limits.integer("body_time_ms", clients.m_bodyTime.m_ms, 3'000, dayMs, "ms");
        clients.m_idleTime.m_ms = limits.integer("idle_time_ms", clients.m_idleTime.m_ms, 15'000, dayMs, "ms");
        clients.m_connectionsPerAddress = readSize(limits, "connections_per_address", clients.m_connectionsPerAddress, 0, 1'048'576, "connections");
        if (limits.has("body_bytes"))
            settings.m_bodyBytes = readSize(limits, "body_bytes", 0, soundBody, mostBytes, "bytes");
        if (limits.has("connections"))
            settings.m_connections = readSize(limits, "connections", 0, 1, 1'048'576, "connections");
        if (limits.has("unfinished_bytes"))
            settings.m_unfinishedBytes = readSize(limits, "unfinished_bytes", 0, 2 * soundBody, mostBytes, "bytes");
        limits.rejectUnknownKeys();
        return settings;
    }

    void readListen(Section listen, CellStartup& settings)
    {
        settings.m_clients = listen.address("clients");
        settings.m_readiness = listen.address("readiness");
        settings.m_peers = listen.address("peers");
        settings.m_advertisedPeers = listen.has("advertised_peers") ? listen.address("advertised_peers") : settings.m_peers;
        if (listen.has("metrics"))
            settings.m_metrics = listen.address("metrics");
        listen.rejectUnknownKeys();
    }

    void readPlatform(Section platform, CellStartup& settings)
    {
        settings.m_store = platform.address("store");
        if (platform.has("approvals"))
            settings.m_approvals = platform.address("approvals");
        platform.rejectUnknownKeys();
    }

    CellStartup readAll(const YAML::Node& root)
    {
        Section file({}, root);
        CellStartup settings;
        settings.m_member = file.text("member");
        settings.m_zone = file.text("zone");
        settings.m_cpuShare = file.number("cpu_share", settings.m_cpuShare, 0.001, 1'024, "cores");
        settings.m_descriptors = static_cast<std::size_t>(file.integer("descriptors", static_cast<std::int64_t>(settings.m_descriptors), 256, 1'048'576, "descriptors"));
        LimitSettings limits = readLimits(file.section("limits"));
        limits.m_descriptors = settings.m_descriptors;
        if (file.has("memory_mb"))
            limits.m_memoryMb = static_cast<std::size_t>(file.integer("memory_mb", 0, 64, 16'777'216, "MB"));
        settings.m_limits = valueOrReject("limits", deriveLimits(limits));
        settings.m_linkMbps = file.number("link_mbps", settings.m_linkMbps, 0.001, 1'000'000, "Mbit/s");
        readListen(file.section("listen"), settings);
        readPlatform(file.section("platform"), settings);
        settings.m_seeds = file.addresses("seeds");
        readLogSettings(file.section("log"), settings.m_logLevel, settings.m_logFormat);
        readTimes(file.section("times"), settings);
        readKeys(file.section("keys"), settings);
        readCustomers(file.section("customers"), settings);
        readAdmission(file.section("admission"), settings);
        readPlacement(file.section("placement"), settings);
        readLeadership(file.section("leadership"), settings);
        settings.m_relayMinWorkers = static_cast<std::size_t>(file.integer("relay_from_workers", static_cast<std::int64_t>(settings.m_relayMinWorkers), 1, 1'000'000, "workers"));
        settings.m_ringCapacity = static_cast<std::size_t>(file.integer("ring_items", static_cast<std::int64_t>(settings.m_ringCapacity), 16, 1'000'000, "items"));
        settings.m_abortsOnInvariant = file.boolean("abort_on_invariant", settings.m_abortsOnInvariant);
        file.rejectUnknownKeys();
        return settings;
    }

} // namespace

Expected<CellStartup> parseCellStartup(const std::string& yaml)
{
    return parseStartupFile(yaml, readAll);
}

} // namespace bulrushloft::cell
