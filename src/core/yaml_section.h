/** @file yaml_section.h Checked reads of a YAML file; for sources of parsers only. */
#pragma once

#include "core/address_type.h"
#include "core/log_func.h"

#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace bulrushloft {

/** A value that can't be used; caught by the parser of the file. */
struct InvalidValueError {
    Error m_error;
};

[[noreturn]] inline void reject(const std::string& path, const std::string& found, const std::string& remedy)
{
    throw InvalidValueError { { ErrorKind::InvalidInput, path + " " + found, "write " + remedy } };
}

/** One map of the file; remembers which keys were read. */
class Section {
public:
    Section(std::string path, const YAML::Node& node)
        : m_path(std::move(path))
        , m_node(node)
    {
        if (m_node && !m_node.IsNull() && !m_node.IsMap())
            reject(m_path, "is not a map", "keys and values below it");
    }

    std::string text(const std::string& key)
    {
        const YAML::Node value = lookUp(key);
        if (!value)
            reject(pathOf(key), "is missing", "a value for it");
        if (!value.IsScalar() || value.Scalar().empty())
            reject(pathOf(key), "is not a text", "one value");
        return value.Scalar();
    }

    std::string text(const std::string& key, const std::string& fallback) { return lookUp(key) ? text(key) : fallback; }

    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t low, std::int64_t high, const std::string& unit)
    {
        if (!lookUp(key))
            return fallback;
        const std::string value = text(key);
        const std::string remedy = "a whole number from " + std::to_string(low) + " to " + std::to_string(high) + " " + unit;
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
            reject(pathOf(key), "is \"" + value + "\"", "a number from " + std::to_string(low) + " to " + std::to_string(high) + " " + unit);
        return number;
    }

    bool has(const std::string& key) { return lookUp(key).IsDefined(); }

    bool boolean(const std::string& key, bool fallback)
    {
        if (!lookUp(key))
            return fallback;
        const std::string value = text(key);
        if (value != "true" && value != "false")
            reject(pathOf(key), "is \"" + value + "\"", "true or false");
        return value == "true";
    }

    Address address(const std::string& key)
    {
        const auto parsed = parseAddress(text(key));
        if (!parsed)
            reject(pathOf(key), "is no address", parsed.error().m_remedy);
        return *parsed;
    }

    std::vector<Address> addresses(const std::string& key)
    {
        const YAML::Node list = lookUp(key);
        std::vector<Address> parsed;
        if (list && !list.IsSequence())
            reject(pathOf(key), "is not a list", "a list of addresses");
        for (const YAML::Node& item : list) {
            const auto entry = parseAddress(item.IsScalar() ? item.Scalar() : "");
            if (!entry)
                reject(pathOf(key), "has an entry that is no address", entry.error().m_remedy);
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
                reject(pathOf(item.first.Scalar()), "is not a setting", "one of: " + knownKeys);
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

template <typename Value>
Value valueOrReject(const std::string& path, Expected<Value> value)
{
    if (!value)
        reject(path, value.error().m_message, value.error().m_remedy);
    return *value;
}

/** Reads the section "log" with its level and format. */
inline void readLogSettings(Section log, LogLevel& level, LogFormat& format)
{
    level = valueOrReject("log/level", parseLogLevel(log.text("level", "info")));
    format = valueOrReject("log/format", parseLogFormat(log.text("format", "key-value")));
    log.rejectUnknownKeys();
}

/** @return What a reader makes of a start-up file, or an error that names the bad value and the remedy. */
template <typename Settings>
Expected<Settings> parseStartupFile(const std::string& yaml, Settings (*read)(const YAML::Node&))
{
    try {
        return read(YAML::Load(yaml));
    } catch (const InvalidValueError& invalid) {
        return tl::unexpected(invalid.m_error);
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, std::string("the start-up file is not YAML: ") + error.what(), "mend the line that is named");
    }
}

} // namespace bulrushloft
