/** @file reload_at_start_test.cpp A daemon whose settings are to be reloaded while its process is still starting. */
#define BOOST_TEST_MODULE reload_at_start
#include <boost/test/unit_test.hpp>

#include <string>

#include <sys/wait.h>
#include <unistd.h>

namespace {

/** Runs the daemon with a library that sends it SIGHUP before main(). @return Its status, as from waitpid(). */
int runDaemon()
{
    const pid_t child = fork();
    if (child == 0) {
        setenv("LD_PRELOAD", HANGUP_LIBRARY, 1);
        setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
        execl(DAEMON_PROGRAM, DAEMON_PROGRAM, "--version", nullptr);
        _exit(127);
    }
    int status = -1;
    waitpid(child, &status, 0);
    return status;
}

} // namespace

// A SIGHUP that came a few milliseconds after the start ended the process (EXIT).
BOOST_AUTO_TEST_CASE(a_reload_signal_before_main_does_not_end_the_daemon)
{
    const int status = runDaemon();
    BOOST_TEST(!WIFSIGNALED(status), "ended by signal " << WTERMSIG(status));
    BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 0));
}
