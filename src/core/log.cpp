/** @file log.cpp Structured logging based on the spdlog library. */
#include "core/log_func.h"

#include "table/log_table.h"

#include <atomic>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace bulrushloft {

namespace {

    std::atomic<LogFormat> activeFormat { LogFormat::KeyValue };

    spdlog::level::level_enum toSpdlog(LogLevel level)
    {
        switch (level) {
        case LogLevel::Trace:
            return spdlog::level::trace;
        case LogLevel::Debug:
            return spdlog::level::debug;
        case LogLevel::Info:
            return spdlog::level::info;
        case LogLevel::Warning:
            return spdlog::level::warn;
        case LogLevel::Error:
            return spdlog::level::err;
        case LogLevel::Off:
            return spdlog::level::off;
        }
        return spdlog::level::info;
    }

    bool needsQuotes(const std::string& value)
    {
        return value.empty() || value.find_first_of(" =\"\n\r\t") != std::string::npos;
    }

    std::string formatKeyValue(std::string_view event, std::initializer_list<LogField> fields)
    {
        std::string line(event);
        for (const LogField& field : fields) {
            line += ' ' + field.m_key + '=';
            if (needsQuotes(field.m_value))
                line += nlohmann::json(field.m_value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
            else
                line += field.m_value;
        }
        return line;
    }

    std::string formatJson(std::string_view event, std::initializer_list<LogField> fields)
    {
        nlohmann::ordered_json line;
        line["event"] = event;
        for (const LogField& field : fields)
            line[field.m_key] = field.m_value;
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

} // namespace

void openLog(const LogOptions& options)
{
    constexpr std::size_t maxQueuedLines = 8'192;
    constexpr auto flushInterval = std::chrono::seconds(1);
    const auto formerPool = spdlog::thread_pool(); // The former log's periodic flush may run until flush_every() below replaces it, and needs its pool.
    spdlog::init_thread_pool(maxQueuedLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>(options.m_process, std::move(sink), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n %v");
    logger->set_level(toSpdlog(options.m_level));
    logger->flush_on(spdlog::level::warn);
    activeFormat = options.m_format;
    spdlog::set_default_logger(std::move(logger));
    spdlog::flush_every(flushInterval);
}

void closeLog()
{
    spdlog::shutdown();
}

void setLogLevel(LogLevel level)
{
    spdlog::default_logger_raw()->set_level(toSpdlog(level));
}

Expected<LogLevel> parseLogLevel(std::string_view name)
{
    if (const auto level = findValue(logLevelNames, name))
        return *level;
    return fail(ErrorKind::InvalidInput, "\"" + std::string(name) + "\" is not a log level", "write one of: " + listNames(logLevelNames));
}

Expected<LogFormat> parseLogFormat(std::string_view name)
{
    if (const auto format = findValue(logFormatNames, name))
        return *format;
    return fail(ErrorKind::InvalidInput, "\"" + std::string(name) + "\" is not a log format", "write one of: " + listNames(logFormatNames));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::logger* const logger = spdlog::default_logger_raw();
    if (!logger->should_log(toSpdlog(level)))
        return;
    const bool asJson = activeFormat == LogFormat::Json;
    logger->log(toSpdlog(level), spdlog::string_view_t(asJson ? formatJson(event, fields) : formatKeyValue(event, fields)));
}

} // namespace bulrushloft
