/** @file json_rpc_client.h JSON-RPC calls to other daemons; plain strings, because the library's client needs C++14. */
#pragma once

#include <functional>
#include <string>

namespace bulrushloft {

/** Sends a request text and waits for the response text; false when there is none. */
using JsonRpcSender = std::function<bool(const std::string& request, std::string& response)>;

/** What came of a call. */
struct JsonRpcResult {
    bool m_isAnswered = false; ///< Whether the other side answered with a result.
    std::string m_resultJson; ///< The result as JSON text.
    std::string m_error; ///< What went wrong otherwise.
};

/**
 * Calls a method and waits for its result.
 * @param send How to send the request.
 * @param method Name of the method.
 * @param parametersJson Parameters as the text of a JSON object.
 */
JsonRpcResult callJsonRpc(const JsonRpcSender& send, const std::string& method, const std::string& parametersJson);

} // namespace bulrushloft
