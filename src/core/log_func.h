/** @file log_func.h Structured logging: each line has an event name and fields. */
#pragma once

#include "core/error_type.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bulrushloft {

/** Severity of a log line. */
enum class LogLevel : std::uint8_t {
    Trace,
    Debug,
    Info,
    Warning,
    Error,
    Off,
};

/** Format of a log line. */
enum class LogFormat : std::uint8_t {
    KeyValue, ///< event key=value key="two words"
    Json, ///< One JSON object per line.
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

    std::string m_key;
    std::string m_value; ///< Value in text form.
};

/** Logging options of the process. */
struct LogOptions {
    LogLevel m_level = LogLevel::Info; ///< Lowest level that is written.
    LogFormat m_format = LogFormat::KeyValue;
    std::string m_process; ///< Name of the process; written in each line.
};

/** Opens the log of this process. A background thread writes it to standard output; while the queue is full, the oldest lines are dropped. */
void openLog(const LogOptions& options);

/** Writes the queued lines and stops the background thread. */
void closeLog();

/** Sets the lowest level that is written; may be called at any time from any thread. */
void setLogLevel(LogLevel level);

/**
 * Looks up a log level by its name.
 * @return The level, or an InvalidInput error that lists the valid names.
 */
Expected<LogLevel> parseLogLevel(std::string_view name);

/**
 * Looks up a log format by its name.
 * @return The format, or an InvalidInput error that lists the valid names.
 */
Expected<LogFormat> parseLogFormat(std::string_view name);

/**
 * Writes one log line, unless its level is below the level that is set.
 * @param level Severity of the line.
 * @param event Name of the event, a few words joined by hyphens.
 * @param fields Fields that describe the event.
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace bulrushloft
