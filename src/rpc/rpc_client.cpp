#include "hibiscusfall/rpc/rpc_client.hpp"

#include "http_exchange.hpp"

#include <jsonrpccpp/client.h>

#include <exception>
#include <memory>

namespace hibiscusfall
{
namespace rpc
{

namespace
{

constexpr std::size_t longest_reason = 300;
constexpr unsigned http_ok = 200;

/// Whether the client of libjsonrpccpp can read this answer. It takes the types of some members for granted,
/// and what jsoncpp throws on others leaves it through an exception specification, which ends the process.
bool is_response(const std::string& text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value answer;
    std::string ignored;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &answer, &ignored) || !answer.isObject()) {
            return false;
        }
    } catch (const Json::Exception&) { // Nested too deeply.
        return false;
    }
    const auto& error = answer["error"];
    return answer["jsonrpc"].isString() &&
           (error.isNull() || (error.isObject() && error["code"].isInt() && error["message"].isString()));
}

/// Carries one JSON-RPC message to a peer and its answer back. Answers of others than the fleet are dropped
/// before they are parsed.
class http_connector : public jsonrpc::IClientConnector
{
public:
    http_connector(const client_options& given, const peer& called) : options(given), to(called) {}

    // The base class fixes this exception specification; anything else that is thrown ends the process.
    void SendRPCMessage(const std::string& message, std::string& result) throw(
        jsonrpc::JsonRpcException) override // NOLINT(readability-identifier-naming)
    {
        try {
            this->send(message, result);
        } catch (const std::exception& error) {
            this->kind = failure::failed;
            this->reason = error.what();
        }
        if (this->kind != failure::none) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, this->reason);
        }
    }

    failure kind = failure::none;
    std::string reason;

private:
    void send(const std::string& message, std::string& result)
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto stamp = make_stamp(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
        const auto tag = tag_of(this->options.key, call_side::question, stamp, message);
        auto end = detail::post(this->options, this->to, stamp + " " + tag, message);
        this->kind = end.kind;
        this->reason = end.reason;
        if (end.kind != failure::none) {
            return;
        }
        if (end.status != http_ok) {
            this->kind = failure::refused;
            this->reason = "status " + std::to_string(end.status) + ": " + end.body.substr(0, longest_reason);
        } else if (!equal_tags(end.tag, tag_of(this->options.key, call_side::answer, stamp, end.body))) {
            this->kind = failure::unreadable;
            this->reason = "the answer is not signed with the key of this fleet";
        } else if (!is_response(end.body)) {
            this->kind = failure::unreadable;
            this->reason = "the answer is no JSON-RPC";
        } else {
            result = std::move(end.body);
        }
    }

    const client_options& options;
    const peer& to;
};

failure kind_of(int code)
{
    if (code == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND) {
        return failure::unknown_method;
    }
    if (code == jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS) {
        return failure::bad_parameters;
    }
    if (code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
        code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR) {
        return failure::unreadable;
    }
    return failure::failed;
}

Json::Value to_json(const fields& values)
{
    Json::Value result(Json::objectValue);
    for (const auto& item : values.texts) {
        result[item.first] = item.second;
    }
    for (const auto& item : values.numbers) {
        result[item.first] = static_cast<Json::UInt64>(item.second);
    }
    return result;
}

/// Returns whether the result is an object of texts and whole numbers.
bool from_json(const Json::Value& from, fields& values)
{
    if (!from.isObject()) {
        return false;
    }
    for (const auto& name : from.getMemberNames()) {
        const auto& value = from[name];
        if (value.isString()) {
            values.texts[name] = value.asString();
        } else if (value.isUInt64()) {
            values.numbers[name] = value.asUInt64();
        } else {
            return false;
        }
    }
    return true;
}

call_result fail(call_result ended, failure kind, const std::string& reason)
{
    ended.error.kind = kind;
    ended.error.reason = reason.substr(0, longest_reason);
    return ended;
}

} // namespace

call_result
call(const client_options& options, const peer& to, const std::string& method, const fields& parameters)
{
    call_result ended;
    ended.error.method = method;
    ended.error.peer = to.host + ":" + std::to_string(to.port);
    http_connector connector(options, to);
    try {
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        Json::Value result;
        client.CallMethod(method, to_json(parameters), result);
        if (!from_json(result, ended.values)) {
            return fail(ended, failure::unreadable, "the result holds more than texts and whole numbers");
        }
    } catch (const jsonrpc::JsonRpcException& error) {
        return connector.kind != failure::none ? fail(ended, connector.kind, connector.reason)
                                               : fail(ended, kind_of(error.GetCode()), error.what());
    } catch (const std::exception& error) {
        return fail(ended, failure::failed, error.what());
    }
    return ended;
}

std::string to_string(const call_error& error)
{
    return error.peer + " " + error.method + ": " + to_string(error.kind) + ": " + error.reason;
}

const char* to_string(failure kind) noexcept
{
    switch (kind) {
    case failure::none:
        return "none";
    case failure::unreachable:
        return "unreachable";
    case failure::silent:
        return "silent";
    case failure::closed:
        return "closed";
    case failure::oversize:
        return "oversize";
    case failure::unreadable:
        return "unreadable";
    case failure::refused:
        return "refused";
    case failure::unknown_method:
        return "unknown_method";
    case failure::bad_parameters:
        return "bad_parameters";
    case failure::failed:
        return "failed";
    }
    return "failed";
}

} // namespace rpc
} // namespace hibiscusfall
