#include "hibiscusfall/operators/operator_server.hpp"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>

#include <exception>
#include <ostream>
#include <thread>
#include <utility>

namespace hibiscusfall::operators
{

namespace
{

std::string_view bearer_token(const cxxtools::http::Request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const char* value = request.getHeader("Authorization");
    const std::string_view text = value == nullptr ? "" : value;
    return text.starts_with(scheme) ? text.substr(scheme.size()) : std::string_view{};
}

class route_responder : public cxxtools::http::Responder
{
public:
    route_responder(cxxtools::http::Service& service, const operator_server::handler& given)
        : cxxtools::http::Responder(service), call(given)
    {
    }

    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
    {
        const std::string& path = request.url();
        const std::string body = request.bodyStr();
        const auto answer = this->call({.path = path, .token = bearer_token(request), .body = body});
        reply.setHeader("Content-Type", answer.content_type.c_str());
        reply.httpReturn(static_cast<unsigned>(answer.status), answer.status == 200 ? "OK" : "Refused");
        out << answer.body;
    }

private:
    const operator_server::handler& call;
};

class route_service : public cxxtools::http::CachedServiceBase
{
public:
    explicit route_service(operator_server::handler given) : call(std::move(given)) {}

protected:
    cxxtools::http::Responder* newResponder() override { return new route_responder(*this, this->call); }

private:
    operator_server::handler call;
};

} // namespace

struct operator_server::implementation {
    core::address listen;
    std::map<std::string, std::unique_ptr<route_service>> services;
    std::map<std::string, cxxtools::http::Service*> mounted;
    cxxtools::EventLoop loop;
    std::unique_ptr<cxxtools::http::Server> server;
    std::thread thread;
};

operator_server::operator_server(core::address listen) : state(std::make_unique<implementation>())
{
    this->state->listen = std::move(listen);
}

operator_server::~operator_server()
{
    this->stop();
}

void operator_server::route(std::string path, handler call)
{
    this->state->services[std::move(path)] = std::make_unique<route_service>(std::move(call));
}

void operator_server::mount(std::string path, cxxtools::http::Service& service)
{
    this->state->mounted[std::move(path)] = &service;
}

std::optional<std::string> operator_server::start()
{
    try {
        this->state->server = std::make_unique<cxxtools::http::Server>(
            this->state->loop, this->state->listen.host, this->state->listen.port);
        for (const auto& [path, service] : this->state->services) {
            this->state->server->addService(path, *service);
        }
        for (const auto& [path, service] : this->state->mounted) {
            this->state->server->addService(path, *service);
        }
    } catch (const std::exception& error) {
        return "TCP " + core::to_string(this->state->listen) + ": " + error.what();
    }
    this->state->thread = std::thread([this] { this->state->loop.run(); });
    return std::nullopt;
}

void operator_server::stop()
{
    if (this->state->thread.joinable()) {
        this->state->loop.exit();
        this->state->thread.join();
        this->state->server.reset();
    }
}

} // namespace hibiscusfall::operators
