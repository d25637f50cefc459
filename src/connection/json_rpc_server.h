/** @file json_rpc_server.h JSON-RPC server for calls from other daemons and from bulrushctl, served on the daemon's HTTP port. */
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace bulrushloft {

/** HTTP path of the JSON-RPC calls. */
constexpr const char* jsonRpcPath = "/rpc";

/** Handlers of the JSON-RPC methods; they must not block. */
struct JsonRpcHandlers {
    std::function<void(const std::string& shard)> m_takeShard; ///< Asks this daemon to take over the ownership of a shard.
    std::function<std::string()> m_fetchSettings; ///< Returns the settings in force in encoded form.
    std::function<bool(const std::string& level)> m_setLogLevel; ///< Changes the log level; returns false when the name is unknown.
};

/** Answers JSON-RPC requests. */
class JsonRpcServer {
public:
    struct Impl;

    explicit JsonRpcServer(JsonRpcHandlers handlers);
    ~JsonRpcServer();

    /** @return The response text for a request text. */
    std::string answer(const std::string& request);

private:
    std::unique_ptr<Impl> m_impl;
};

/** @return The bytes as lower-case hexadecimal digits, which JSON can carry. */
std::string toHex(const std::string& bytes);

/** @return The bytes of a text of hexadecimal digits; empty when the text is malformed. */
std::string fromHex(const std::string& text);

} // namespace bulrushloft
