/** @file json_rpc_server.h The few calls between daemons, by JSON-RPC over the daemon's own HTTP port. */
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace bulrushloft {

/** Path of the JSON-RPC calls. */
constexpr const char* jsonRpcPath = "/rpc";

/** What the calls do; each handler must return soon. */
struct JsonRpcHandlers {
    std::function<void(const std::string& shard)> m_takeShard; ///< Another daemon asks this one to take a shard over.
    std::function<std::string()> m_fetchSettings; ///< The settings in force, encoded.
    std::function<bool(const std::string& level)> m_setLogLevel; ///< Changes the log level; false when the name is unknown.
};

/** Answers JSON-RPC requests; lives for the process. */
class JsonRpcServer {
public:
    struct Impl;

    explicit JsonRpcServer(JsonRpcHandlers handlers);
    ~JsonRpcServer();

    /** @return The response text to a request text. */
    std::string answer(const std::string& request);

private:
    std::unique_ptr<Impl> m_impl;
};

/** @return The bytes as hexadecimal digits, for JSON. */
std::string toHex(const std::string& bytes);

/** @return The bytes of hexadecimal digits; empty when the text is malformed. */
std::string fromHex(const std::string& text);

} // namespace bulrushloft
