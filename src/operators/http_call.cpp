#include "hibiscusfall/operators/http_call.hpp"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <exception>

namespace hibiscusfall::operators
{

std::optional<http_answer> perform(const http_call& call, std::string& reason)
{
    try {
        cxxtools::http::Client client(call.to.host, call.to.port);
        cxxtools::http::Request request(call.path);
        request.method(call.body.empty() ? "GET" : "POST");
        if (!call.token.empty()) {
            request.setHeader("Authorization", ("Bearer " + call.token).c_str());
        }
        request.body() << call.body;
        const cxxtools::Milliseconds timeout(static_cast<long>(call.timeout.count()));
        const auto& header = client.execute(request, timeout, timeout);
        return http_answer{.status = header.httpReturnCode(), .body = client.readBody().body()};
    } catch (const std::exception& error) {
        reason = core::to_string(call.to) + ": " + error.what();
        return std::nullopt;
    }
}

} // namespace hibiscusfall::operators
