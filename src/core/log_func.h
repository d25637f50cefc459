/** @file log_func.h Structured logs: an event name and fields, one line each. */
#pragma once

#include "core/error_type.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bulrushloft {

/** How much a line matters. */
enum class LogLevel : std::uint8_t {
    Trace,
    Debug,
    Info,
    Warning,
    Error,
    Off,
};

/** How a line is written. */
enum class LogFormat : std::uint8_t {
    KeyValue, ///< event key=value key="two words"
    Json, ///< One JSON object a line.
};

/** One field of a log line. */
struct LogField {
    LogField(std::string_view key, std::string_view value)
        : m_key(key)
        , m_value(value)
    {
    }
    LogField(std::string_view key, const char* value)
        : m_key(key)
        , m_value(value)
    {
    }
    LogField(std::string_view key, const std::string& value)
        : m_key(key)
        , m_value(value)
    {
    }
    template <typename Integer>
    requires std::is_integral_v<Integer>
    LogField(std::string_view key, Integer value)
        : m_key(key)
        , m_value(std::to_string(value))
    {
    }

    std::string m_key; ///< Name of the field.
    std::string m_value; ///< Its value as text.
};

/** Options of the process's log. */
struct LogOptions {
    LogLevel m_level = LogLevel::Info; ///< The lowest level that is written.
    LogFormat m_format = LogFormat::KeyValue; ///< The form of a line.
    std::string m_process; ///< Name of the process, part of each line.
};

/** Sets up the log of this process; a thread of its own writes to standard output, lines beyond the queue's bound are dropped. */
void openLog(const LogOptions& options);

/** Writes what is queued and ends the log's thread. */
void closeLog();

/** Changes the lowest level that is written, at any time and from any thread. */
void setLogLevel(LogLevel level);

/**
 * Finds a level by its name.
 * @return The level, or an error that lists the names.
 */
Expected<LogLevel> parseLogLevel(std::string_view name);

/** Finds a log format by its name. */
Expected<LogFormat> parseLogFormat(std::string_view name);

/**
 * Writes one line.
 * @param level How much it matters.
 * @param event What happened, in a few words joined by hyphens.
 * @param fields What is known about it.
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace bulrushloft
