/** @file main.cpp bulrushloftd: reads the start-up file, runs the daemon, ends gracefully on SIGTERM or SIGINT. */
#include "core/invariant.h"
#include "core/log_func.h"
#include "process/daemon.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

DEFINE_string(config, "", "The start-up file (YAML); see docs/OPERATING.md");
DEFINE_bool(check, false, "Check the start-up file and end");
DEFINE_string(log_level, "", "Overrides log/level of the start-up file");

namespace {

constexpr int exitOk = 0;
constexpr int exitBadInput = 2;
constexpr int exitUnavailable = 3;

bulrushloft::Expected<bulrushloft::StartupSettings> readStartup()
{
    using bulrushloft::ErrorKind;
    if (FLAGS_config.empty())
        return bulrushloft::fail(ErrorKind::InvalidInput, "no start-up file is given", "run bulrushloftd --config FILE");
    std::ifstream file(FLAGS_config);
    if (!file)
        return bulrushloft::fail(ErrorKind::InvalidInput, "the start-up file " + FLAGS_config + " can't be opened", "name a file that exists");
    std::stringstream text;
    text << file.rdbuf();
    auto settings = bulrushloft::parseStartup(text.str());
    if (!settings || FLAGS_log_level.empty())
        return settings;
    const auto level = bulrushloft::parseLogLevel(FLAGS_log_level);
    if (!level)
        return tl::unexpected(level.error());
    settings->m_logLevel = *level;
    return settings;
}

/** Blocks the signals in all threads, so that one thread can wait for them. */
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs bulrushloft on an entry VM: bulrushloftd --config FILE [--check]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = readStartup();
    if (!settings) {
        std::cerr << "bulrushloftd: " << bulrushloft::describe(settings.error()) << "\n";
        return exitBadInput;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_config << " is well formed\n";
        return exitOk;
    }
    const sigset_t signals = blockSignals();
    bulrushloft::openLog({ .m_level = settings->m_logLevel, .m_format = settings->m_logFormat, .m_process = settings->m_member });
    bulrushloft::setInvariantAction(settings->m_abortsOnInvariant ? bulrushloft::InvariantAction::Abort : bulrushloft::InvariantAction::Count);
    bulrushloft::logEvent(bulrushloft::LogLevel::Info, "starting", { { "version", gflags::VersionString() }, { "settings_source", FLAGS_config }, { "cell", settings->m_cell }, { "address", bulrushloft::format(settings->m_address) }, { "zone", settings->m_zone } });
    bulrushloft::Daemon daemon(*settings);
    if (const auto started = daemon.start(); !started) {
        std::cerr << "bulrushloftd: " << bulrushloft::describe(started.error()) << "\n";
        std::_Exit(exitUnavailable);
    }
    int received = 0;
    sigwait(&signals, &received);
    bulrushloft::logEvent(bulrushloft::LogLevel::Info, "leaving", { { "signal", received } });
    daemon.shutDown();
    return exitOk;
}
