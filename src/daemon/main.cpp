/** @file main.cpp bulrushloftd: reads the start-up file and runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully. */
#include "core/invariant.h"
#include "core/log_func.h"
#include "process/cell/cell_daemon.h"
#include "process/node/daemon.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

DEFINE_string(config, "", "Path of the start-up file (YAML); see docs/OPERATIONS.md");
DEFINE_bool(cell, false, "Run as a cell daemon, which keeps its data in the metadata store of the users' platform");
DEFINE_bool(check, false, "Validate the start-up file and exit");
DEFINE_string(log_level, "", "Log level that overrides log/level of the start-up file");

namespace {

using bulrushloft::ErrorKind;

constexpr int exitOk = 0;
constexpr int exitBadInput = 2;
constexpr int exitUnavailable = 3;

/**
 * Reads the start-up file that --config names; --log_level overrides its log level.
 * @param parse Parser for the start-up files of this kind of daemon.
 * @return The settings, or an error of kind InvalidInput.
 */
template <typename Settings>
bulrushloft::Expected<Settings> readStartupFile(bulrushloft::Expected<Settings> (*parse)(const std::string&))
{
    if (FLAGS_config.empty())
        return bulrushloft::fail(ErrorKind::InvalidInput, "--config is missing", "give the path of the start-up file with --config FILE");
    std::ifstream file(FLAGS_config);
    if (!file)
        return bulrushloft::fail(ErrorKind::InvalidInput, "the start-up file " + FLAGS_config + " can't be opened", "check that it exists and is readable");
    std::stringstream text;
    text << file.rdbuf();
    auto settings = parse(text.str());
    if (!settings || FLAGS_log_level.empty())
        return settings;
    const auto level = bulrushloft::parseLogLevel(FLAGS_log_level);
    if (!level)
        return tl::unexpected(level.error());
    settings->m_logLevel = *level;
    return settings;
}

/**
 * Blocks SIGTERM, SIGINT and SIGHUP, so that the main thread can wait for them with sigwait(); ignores SIGPIPE.
 * Must run before other threads start, as they inherit the signal mask.
 * @return The blocked signals.
 */
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Reads the start-up file again and applies it to the daemon; if it is invalid, the daemon keeps its settings. */
template <typename Daemon, typename Settings>
void reloadStartupFile(Daemon& daemon, bulrushloft::Expected<Settings> (*parse)(const std::string&))
{
    const auto settings = readStartupFile(parse);
    if (settings)
        return daemon.reload(*settings);
    bulrushloft::logEvent(bulrushloft::LogLevel::Error, "reload-refused", { { "error", bulrushloft::describe(settings.error()) } });
}

/** Runs a daemon until SIGTERM or SIGINT; returns only if the start-up file is invalid or --check is set, otherwise ends the process itself. @return Exit code of the process. */
template <typename Daemon, typename Settings>
int runDaemon(bulrushloft::Expected<Settings> (*parse)(const std::string&))
{
    const auto settings = readStartupFile(parse);
    if (!settings) {
        std::cerr << "bulrushloftd: " << bulrushloft::describe(settings.error()) << "\n";
        return exitBadInput;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_config << " is valid\n";
        return exitOk;
    }
    const sigset_t signals = blockSignals();
    bulrushloft::openLog({ .m_level = settings->m_logLevel, .m_format = settings->m_logFormat, .m_process = settings->m_member });
    bulrushloft::setInvariantAction(settings->m_abortsOnInvariant ? bulrushloft::InvariantAction::Abort : bulrushloft::InvariantAction::Count);
    bulrushloft::logEvent(bulrushloft::LogLevel::Info, "starting", { { "version", gflags::VersionString() }, { "startup_file", FLAGS_config }, { "zone", settings->m_zone } });
    Daemon daemon(*settings);
    if (const auto started = daemon.start(); !started) {
        std::cerr << "bulrushloftd: " << bulrushloft::describe(started.error()) << "\n";
        std::_Exit(exitUnavailable);
    }
    int signalNumber = SIGHUP;
    while (signalNumber == SIGHUP) {
        sigwait(&signals, &signalNumber);
        if (signalNumber == SIGHUP)
            reloadStartupFile(daemon, parse);
    }
    bulrushloft::logEvent(bulrushloft::LogLevel::Info, "leaving", { { "signal", signalNumber } });
    daemon.shutDown();
    bulrushloft::closeLog();
    std::_Exit(exitOk);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs a bulrushloft daemon on an entry VM: bulrushloftd [--cell] --config FILE [--check]");
    gflags::SetVersionString("0.2.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_cell)
        return runDaemon<bulrushloft::cell::CellDaemon>(bulrushloft::cell::parseCellStartup);
    return runDaemon<bulrushloft::Daemon>(bulrushloft::parseStartup);
}
