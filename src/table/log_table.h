/** @file log_table.h Names of log levels and formats. */
#pragma once

#include "core/enum_table.h"
#include "core/log_func.h"

namespace bulrushloft {

constexpr std::array<EnumName<LogLevel>, 6> logLevelNames { {
    { LogLevel::Trace, "trace" },
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
    { LogLevel::Off, "off" },
} };

constexpr std::array<EnumName<LogFormat>, 2> logFormatNames { {
    { LogFormat::KeyValue, "key-value" },
    { LogFormat::Json, "json" },
} };

} // namespace bulrushloft
