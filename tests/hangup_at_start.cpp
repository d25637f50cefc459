/** @file hangup_at_start.cpp A library that, loaded into a process beforehand, sends it SIGHUP before main(). */
#include <csignal>

namespace {

[[gnu::constructor]] void raiseHangup()
{
    raise(SIGHUP);
}

} // namespace
