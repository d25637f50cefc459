/** @file json_rpc_client.cpp JSON-RPC client on libjsonrpccpp; compiled as C++14, because its headers use dynamic exception specifications. */
#include "connection/json_rpc_client.h"

#include <memory>

#include <jsoncpp/json/json.h>
#include <jsonrpccpp/client.h>

namespace bulrushloft {

namespace {

    /** Sends the library's messages through a JsonRpcSender instead of the library's own transport. */
    class SenderConnector : public jsonrpc::IClientConnector {
    public:
        explicit SenderConnector(const JsonRpcSender& send)
            : m_send(send)
        {
        }

        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
        {
            if (!m_send(message, result))
                throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no response from the server");
        }

    private:
        const JsonRpcSender& m_send;
    };

    bool parse(const std::string& text, Json::Value& value)
    {
        const Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    }

} // namespace

JsonRpcResult callJsonRpc(const JsonRpcSender& send, const std::string& method, const std::string& parametersJson)
{
    JsonRpcResult result;
    try {
        Json::Value parameters;
        if (!parse(parametersJson, parameters)) {
            result.m_error = "the parameters are not valid JSON";
            return result;
        }
        SenderConnector connector(send);
        jsonrpc::Client client(connector);
        const Json::Value answer = client.CallMethod(method, parameters);
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        result.m_resultJson = Json::writeString(writer, answer);
        result.m_isAnswered = true;
    } catch (const jsonrpc::JsonRpcException& error) {
        result.m_error = error.what();
    }
    return result;
}

} // namespace bulrushloft
