/** @file json_rpc_client.h JSON-RPC client. Its interface uses plain strings, because libjsonrpccpp requires the source to be compiled as C++14. */
#pragma once

#include <functional>
#include <string>

namespace bulrushloft {

/** Sends a request text and waits for the response text; returns false when there is no response. */
using JsonRpcSender = std::function<bool(const std::string& request, std::string& response)>;

/** Result of a call. */
struct JsonRpcResult {
    bool m_isAnswered = false; ///< Whether the server answered with a result.
    std::string m_resultJson; ///< The result as JSON text; empty when there is none.
    std::string m_error; ///< Error message when there is no result.
};

/**
 * Calls a method and waits for its result.
 * @param send Sends the request.
 * @param method Name of the method.
 * @param parametersJson Named parameters as a JSON object in text form.
 */
JsonRpcResult callJsonRpc(const JsonRpcSender& send, const std::string& method, const std::string& parametersJson);

} // namespace bulrushloft
