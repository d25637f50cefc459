/** @file guard.cpp Logs unexpected exceptions instead of letting them end the process. */
#include "core/guard_func.h"

#include "core/log_func.h"

#include <exception>

namespace bulrushloft {

bool runGuarded(std::string_view duty, const std::function<void()>& work)
{
    try {
        work();
        return true;
    } catch (const std::exception& error) {
        logEvent(LogLevel::Error, "unexpected-exception", { { "duty", duty }, { "error", error.what() } });
    }
    return false;
}

} // namespace bulrushloft
