#include "hibiscusfall/rpc/rpc_server.hpp"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/service.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <exception>
#include <istream>
#include <map>
#include <ostream>

namespace hibiscusfall
{
namespace rpc
{

namespace
{

using jsonrpc::Errors;
using jsonrpc::JsonRpcException;

/// @name HTTP statuses
constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned content_too_large = 413;

/// A question that is refused before it is parsed; the status is 200 when it is not.
struct verdict {
    unsigned status = ok;
    std::string reason;
};

/// The stamp and the tag of a question's header.
struct question_tag {
    std::string stamp;
    std::string tag;
};

question_tag read_tag(const cxxtools::http::Request& request)
{
    const char* value = request.getHeader(tag_header);
    const std::string text = value == nullptr ? "" : value;
    const auto space = text.find(' ');
    question_tag result;
    if (space != std::string::npos) {
        result.stamp = text.substr(0, space);
        result.tag = text.substr(space + 1);
    }
    return result;
}

verdict check(const server_options& options, const question_tag& given, const std::string& body)
{
    verdict result;
    if (!equal_tags(given.tag, tag_of(options.key, call_side::question, given.stamp, body))) {
        result.status = unauthorized;
        result.reason = "only instances of the fleet may ask";
        return result;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto own = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(options.clock_difference).count();
    if (std::abs(own - time_of(given.stamp)) > limit) {
        result.status = unauthorized;
        result.reason = "the question is too old, or the clocks of the two instances differ too much";
    } else if (body.find_first_not_of(" \t\r\n") == std::string::npos ||
               body[body.find_first_not_of(" \t\r\n")] != '{') {
        result.status = bad_request;
        result.reason = "the body is not one JSON-RPC call";
    }
    return result;
}

} // namespace

/// The connector of libjsonrpccpp and the methods behind it.
struct rpc_server::implementation : jsonrpc::AbstractServerConnector,
                                    jsonrpc::IProcedureInvokationHandler,
                                    cxxtools::http::CachedServiceBase {
    explicit implementation(const server_options& given)
        : options(given),
          protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        this->SetHandler(this->protocol.get());
    }

    // NOLINTBEGIN(readability-identifier-naming): the names are those of the base classes.
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string& response, void* answer) override
    {
        *static_cast<std::string*>(answer) = response;
        return true;
    }

    void
    HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        const auto& called = this->methods.at(procedure.GetProcedureName());
        const auto parameters = read(called, input);
        fields result;
        try {
            result = called.call(parameters);
        } catch (const std::exception& error) {
            throw JsonRpcException(Errors::ERROR_RPC_INTERNAL_ERROR, error.what());
        }
        output = Json::Value(Json::objectValue);
        for (const auto& item : result.texts) {
            output[item.first] = item.second;
        }
        for (const auto& item : result.numbers) {
            output[item.first] = static_cast<Json::UInt64>(item.second);
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/) override {}
    // NOLINTEND(readability-identifier-naming)

    static fields read(const method& called, const Json::Value& input)
    {
        fields result;
        for (const auto& name : called.texts) {
            result.texts[name] = input[name].asString();
        }
        for (const auto& name : called.numbers) {
            if (!input[name].isUInt64()) {
                throw JsonRpcException(Errors::ERROR_RPC_INVALID_PARAMS,
                                       name + " is no whole number from 0 on");
            }
            result.numbers[name] = input[name].asUInt64();
        }
        return result;
    }

    cxxtools::http::Responder* newResponder() override;

    server_options options;
    std::map<std::string, method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

namespace
{

/// Reads one question up to its limit, and answers it through the connector.
class question_responder : public cxxtools::http::Responder
{
public:
    question_responder(cxxtools::http::Service& service,
                       jsonrpc::AbstractServerConnector& given,
                       const server_options& wanted)
        : cxxtools::http::Responder(service), connector(given), options(wanted)
    {
    }

    void beginRequest(cxxtools::net::TcpSocket& socket,
                      std::istream& in,
                      cxxtools::http::Request& request) override
    {
        this->body.clear();
        this->too_long = false;
        cxxtools::http::Responder::beginRequest(socket, in, request);
    }

    std::size_t readBody(std::istream& in) override
    {
        constexpr std::size_t piece_bytes = 4096;
        std::array<char, piece_bytes> piece{};
        std::size_t taken = 0;
        auto* buffer = in.rdbuf();
        for (auto ready = buffer->in_avail(); ready > 0; ready = buffer->in_avail()) {
            const auto wanted = std::min<std::streamsize>(ready, piece.size());
            const auto count = static_cast<std::size_t>(buffer->sgetn(piece.data(), wanted));
            taken += count;
            this->too_long = this->too_long || this->body.size() + count > this->options.max_question_bytes;
            if (!this->too_long) {
                this->body.append(piece.data(), count);
            }
        }
        return taken;
    }

    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& answer) override
    {
        const auto given = read_tag(request);
        verdict found;
        if (this->too_long) {
            found.status = content_too_large;
            found.reason = "the question is longer than allowed";
        } else {
            found = check(this->options, given, this->body);
        }
        std::string text;
        if (found.status == ok) {
            try {
                this->connector.OnRequest(this->body, &text);
            } catch (const std::exception& error) { // What jsoncpp throws on texts nested too deeply.
                found.status = bad_request;
                found.reason = error.what();
            }
        }
        answer.setHeader("Content-Type", found.status == ok ? "application/json" : "text/plain");
        answer.httpReturn(found.status, found.status == ok ? "OK" : "Refused");
        if (found.status != ok) {
            out << found.reason;
            return;
        }
        const auto tag = tag_of(this->options.key, call_side::answer, given.stamp, text);
        answer.setHeader(tag_header, tag.c_str());
        out << text;
    }

private:
    jsonrpc::AbstractServerConnector& connector;
    const server_options& options;
    std::string body;
    bool too_long = false;
};

} // namespace

cxxtools::http::Responder* rpc_server::implementation::newResponder()
{
    return new question_responder(*this, *this, this->options);
}

rpc_server::rpc_server(const server_options& options) : state(new implementation(options)) {}

rpc_server::~rpc_server() = default;

void rpc_server::add(const method& added)
{
    jsonrpc::Procedure procedure;
    procedure.SetProcedureName(added.name);
    procedure.SetProcedureType(jsonrpc::RPC_METHOD);
    procedure.SetReturnType(jsonrpc::JSON_OBJECT);
    procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
    for (const auto& name : added.texts) {
        procedure.AddParameter(name, jsonrpc::JSON_STRING);
    }
    for (const auto& name : added.numbers) {
        procedure.AddParameter(name, jsonrpc::JSON_INTEGER);
    }
    this->state->methods[added.name] = added;
    this->state->protocol->AddProcedure(procedure);
}

cxxtools::http::Service& rpc_server::service() noexcept
{
    return *this->state;
}

} // namespace rpc
} // namespace hibiscusfall
