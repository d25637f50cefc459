/** @file yaml_section.h Validated reading of YAML files. Include it only in the source files of parsers, because it includes yaml-cpp. */
#pragma once

#include "core/address_type.h"
#include "core/log_func.h"

#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace bulrushloft {

/** Thrown for an invalid value; parseStartupFile() turns it into an error result. */
struct InvalidValueError {
    Error m_error;
};

/**
 * Throws an InvalidValueError.
 * @param path Path of the value in the file.
 * @param problem What is wrong with the value; continues the sentence that the path begins.
 * @param remedy What to write instead.
 */
[[noreturn]] inline void reject(const std::string& path, const std::string& problem, const std::string& remedy)
{
    throw InvalidValueError { { ErrorKind::InvalidInput, path + " " + problem, remedy } };
}

/**
 * One map of the file; records which keys were read, so that rejectUnknownKeys() can reject the others.
 * The getters reject a value of the wrong type or out of range. For a missing key they return the fallback; without a fallback,
 * addresses() and section() return an empty result, the others reject the key.
 */
class Section {
public:
    Section(std::string path, const YAML::Node& node)
        : m_path(std::move(path))
        , m_node(node)
    {
        if (m_node && !m_node.IsNull() && !m_node.IsMap())
            reject(m_path, "is not a map", "write keys and values below it");
    }

    std::string text(const std::string& key)
    {
        const YAML::Node value = lookUp(key);
        if (!value)
            reject(pathOf(key), "is missing", "write a value for it");
        if (!value.IsScalar() || value.Scalar().empty())
            reject(pathOf(key), "is not a single non-empty value", "write one value");
        return value.Scalar();
    }

    std::string text(const std::string& key, const std::string& fallback) { return lookUp(key) ? text(key) : fallback; }

    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t low, std::int64_t high, const std::string& unit)
    {
        if (!lookUp(key))
            return fallback;
        const std::string value = text(key);
        const std::string remedy = "write a whole number from " + std::to_string(low) + " to " + std::to_string(high) + " " + unit;
        std::int64_t number = 0;
        if (!YAML::convert<std::int64_t>::decode(YAML::Node(value), number) || number < low || number > high)
            reject(pathOf(key), "is \"" + value + "\"", remedy);
        return number;
    }

    double number(const std::string& key, double fallback, double low, double high, const std::string& unit)
    {
        if (!lookUp(key))
            return fallback;
        const std::string value = text(key);
        double number = 0;
        if (!YAML::convert<double>::decode(YAML::Node(value), number) || number < low || number > high)
            reject(pathOf(key), "is \"" + value + "\"", "write a number from " + std::to_string(low) + " to " + std::to_string(high) + " " + unit);
        return number;
    }

    bool has(const std::string& key) { return lookUp(key).IsDefined(); }

    bool boolean(const std::string& key, bool fallback)
    {
        if (!lookUp(key))
            return fallback;
        const std::string value = text(key);
        if (value != "true" && value != "false")
            reject(pathOf(key), "is \"" + value + "\"", "write true or false");
        return value == "true";
    }

    Address address(const std::string& key)
    {
        const auto parsed = parseAddress(text(key));
        if (!parsed)
            reject(pathOf(key), "is not a valid address", parsed.error().m_remedy);
        return *parsed;
    }

    std::vector<Address> addresses(const std::string& key)
    {
        const YAML::Node list = lookUp(key);
        std::vector<Address> parsed;
        if (list && !list.IsSequence())
            reject(pathOf(key), "is not a list", "write a list of addresses");
        for (const YAML::Node& item : list) {
            const auto entry = parseAddress(item.IsScalar() ? item.Scalar() : "");
            if (!entry)
                reject(pathOf(key), "has an entry that is not a valid address", entry.error().m_remedy);
            parsed.push_back(*entry);
        }
        return parsed;
    }

    Section section(const std::string& key) { return { pathOf(key), lookUp(key) }; }

    void rejectUnknownKeys() const
    {
        std::string knownKeys;
        for (const std::string& key : m_readKeys)
            knownKeys += (knownKeys.empty() ? "" : ", ") + key;
        if (!m_node || !m_node.IsMap())
            return;
        for (const auto& item : m_node) {
            if (!m_readKeys.contains(item.first.Scalar()))
                reject(pathOf(item.first.Scalar()), "is not a known setting", "write one of: " + knownKeys);
        }
    }

private:
    std::string pathOf(const std::string& key) const { return m_path.empty() ? key : m_path + "/" + key; }

    YAML::Node lookUp(const std::string& key)
    {
        m_readKeys.insert(key);
        return m_node && m_node.IsMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
    }

    std::string m_path;
    YAML::Node m_node;
    std::set<std::string> m_readKeys;
};

/** @return The parsed value; rejects the setting at the path if parsing failed. */
template <typename Value>
Value valueOrReject(const std::string& path, Expected<Value> value)
{
    if (!value)
        reject(path, value.error().m_message, value.error().m_remedy);
    return *value;
}

/** Reads level and format from the section "log". */
inline void readLogSettings(Section log, LogLevel& level, LogFormat& format)
{
    level = valueOrReject("log/level", parseLogLevel(log.text("level", "info")));
    format = valueOrReject("log/format", parseLogFormat(log.text("format", "key-value")));
    log.rejectUnknownKeys();
}

/**
 * Parses a start-up file.
 * @param yaml Contents of the file.
 * @param read Builds the settings from the root node; throws InvalidValueError for an invalid value.
 * @return The settings, or an InvalidInput error that names the invalid value and the remedy.
 */
template <typename Settings>
Expected<Settings> parseStartupFile(const std::string& yaml, Settings (*read)(const YAML::Node&))
{
    try {
        return read(YAML::Load(yaml));
    } catch (const InvalidValueError& invalid) {
        return tl::unexpected(invalid.m_error);
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the start-up file is not valid YAML: ") + error.what(), "correct the line that the message names");
    }
}

} // namespace bulrushloft
