/** @file reload_signal.cpp Blocks SIGHUP while the process starts: a reload that is requested then waits for main() instead of ending the process. */
#include <csignal>

namespace {

/** Runs before the libraries' constructors, hence without the sanitizers' code. Its parameters are those of main(). */
[[gnu::no_sanitize_address, gnu::no_sanitize_thread]] void blockReloadSignal(int, char**, char**)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

/** The dynamic linker calls the functions of this section before all constructors, as soon as it has loaded the libraries. */
[[gnu::section(".preinit_array"), gnu::used]] void (*const preinitFunction)(int, char**, char**) = blockReloadSignal;

} // namespace
