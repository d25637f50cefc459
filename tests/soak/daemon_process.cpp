/** @file daemon_process.cpp Start, signals and end of a daemon's process. */
#include "daemon_process.h"

#include "core/clock_type.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bulrushloft::soak {

namespace {

    std::string makeStartupFile(const DaemonSetup& setup)
    {
        std::ostringstream text;
        text << "member: \"" << setup.m_name << "\"\nzone: \"a\"\ncpu_share: " << setup.m_cpuShare << "\nlink_mbps: 1000\ndescriptors: 8000\nlisten:\n  clients: \"" << format(setup.m_clients)
             << "\"\n  readiness: \"" << format(setup.m_readiness) << "\"\n  peers: \"" << format(setup.m_peers) << "\"\n  advertised_peers: \"" << format(setup.m_advertisedPeers)
             << "\"\nplatform:\n  store: \"" << format(setup.m_store) << "\"\n  approvals: \"" << format(setup.m_approvals) << "\"\nseeds: [" << setup.m_seeds
             << "]\nlog: {level: info, format: key-value}\nrelay_from_workers: " << setup.m_relayMinWorkers << "\nabort_on_invariant: true\n";
        return text.str();
    }

} // namespace

DaemonProcess::DaemonProcess(DaemonSetup setup)
    : m_setup(std::move(setup))
{
}

DaemonProcess::~DaemonProcess()
{
    signal(SIGCONT);
    signal(SIGKILL);
    constexpr Duration endLimit { 5'000 };
    waitForEnd(endLimit);
}

void DaemonProcess::start()
{
    const std::string file = m_setup.m_directory + "/" + m_setup.m_name + ".yaml";
    std::ofstream(file) << (m_setup.m_startupFile.empty() ? makeStartupFile(m_setup) : m_setup.m_startupFile);
    const std::string log = m_setup.m_directory + "/" + m_setup.m_name + ".log";
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // No daemon outlives the soak.
    if (getppid() != parent)
        _exit(1);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execl(m_setup.m_program.c_str(), m_setup.m_program.c_str(), "--cell", "--config", file.c_str(), static_cast<char*>(nullptr));
    _exit(127);
}

void DaemonProcess::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool DaemonProcess::waitForEnd(Duration limit)
{
    constexpr Duration pollInterval { 5 };
    const TimePoint until = steadyNow() + limit;
    while (isRunning()) {
        if (steadyNow() >= until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(pollInterval.m_ms));
    }
    return true;
}

bool DaemonProcess::isRunning()
{
    if (m_pid <= 0)
        return false;
    if (waitpid(m_pid, &m_exitStatus, WNOHANG) != m_pid)
        return true;
    m_pid = 0;
    return false;
}

} // namespace bulrushloft::soak
