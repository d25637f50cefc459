/** @file json_rpc_server.cpp JSON-RPC server on libjsonrpccpp. */
#include "connection/json_rpc_server.h"

#include <charconv>

#include <jsoncpp/json/json.h>
#include <jsonrpccpp/server.h>

namespace bulrushloft {

namespace {

    /** Receives requests as text from the daemon's HTTP server instead of from a socket. */
    class TextConnector : public jsonrpc::AbstractServerConnector {
    public:
        bool StartListening() override { return true; }
        bool StopListening() override { return true; }
        bool SendResponse(const std::string& response, void* addInfo) override
        {
            *static_cast<std::string*>(addInfo) = response;
            return true;
        }
    };

    class MethodServer : public jsonrpc::AbstractServer<MethodServer> {
    public:
        MethodServer(TextConnector& connector, JsonRpcHandlers handlers)
            : jsonrpc::AbstractServer<MethodServer>(connector)
            , m_handlers(std::move(handlers))
        {
            using jsonrpc::JSON_BOOLEAN;
            using jsonrpc::JSON_STRING;
            using jsonrpc::PARAMS_BY_NAME;
            using jsonrpc::Procedure;
            bindAndAddMethod(Procedure("takeShard", PARAMS_BY_NAME, JSON_BOOLEAN, "shard", JSON_STRING, nullptr), &MethodServer::takeShard);
            bindAndAddMethod(Procedure("fetchSettings", PARAMS_BY_NAME, JSON_STRING, nullptr), &MethodServer::fetchSettings);
            bindAndAddMethod(Procedure("setLogLevel", PARAMS_BY_NAME, JSON_BOOLEAN, "level", JSON_STRING, nullptr), &MethodServer::setLogLevel);
        }

    private:
        // The library only binds pointers to non-const member functions.
        // NOLINTBEGIN(readability-make-member-function-const)
        void takeShard(const Json::Value& parameters, Json::Value& result)
        {
            m_handlers.m_takeShard(parameters["shard"].asString());
            result = true;
        }

        void fetchSettings(const Json::Value&, Json::Value& result) { result = toHex(m_handlers.m_fetchSettings()); }

        void setLogLevel(const Json::Value& parameters, Json::Value& result) { result = m_handlers.m_setLogLevel(parameters["level"].asString()); }

        // NOLINTEND(readability-make-member-function-const)

        JsonRpcHandlers m_handlers;
    };

} // namespace

struct JsonRpcServer::Impl {
    explicit Impl(JsonRpcHandlers handlers)
        : m_server(m_connector, std::move(handlers))
    {
    }

    TextConnector m_connector; ///< Passes requests to m_server.
    MethodServer m_server; ///< Dispatches requests to the handlers.
};

JsonRpcServer::JsonRpcServer(JsonRpcHandlers handlers)
    : m_impl(std::make_unique<Impl>(std::move(handlers)))
{
}

JsonRpcServer::~JsonRpcServer() = default;

std::string JsonRpcServer::answer(const std::string& request)
{
    std::string response;
    m_impl->m_connector.OnRequest(request, &response);
    return response;
}

std::string toHex(const std::string& bytes)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::string fromHex(const std::string& text)
{
    std::string bytes;
    if (text.size() % 2 != 0)
        return bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        unsigned value = 0;
        const auto parsed = std::from_chars(text.data() + i, text.data() + i + 2, value, 16);
        if (parsed.ec != std::errc {} || parsed.ptr != text.data() + i + 2)
            return {};
        bytes += static_cast<char>(value);
    }
    return bytes;
}

} // namespace bulrushloft
