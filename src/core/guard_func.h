/** @file guard_func.h Keeps an unexpected exception of one piece of work from ending the process. */
#pragma once

#include <functional>
#include <string_view>

namespace bulrushloft {

/**
 * Runs a piece of work; an exception that it throws is logged as an error and goes no further.
 * @param duty Name of the thread or duty for the log.
 * @return Whether the work completed without an exception.
 */
bool runGuarded(std::string_view duty, const std::function<void()>& work);

} // namespace bulrushloft
