#include "worker.hpp"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>

namespace hibiscusfall::review
{

namespace
{

namespace http = boost::beast::http;

bool write_all(int descriptor, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto sent = ::send(descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

std::string field(const http_request& request, const char* name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

/// Reads one request. @p buffer keeps what follows it.
bool read_request(int descriptor, std::string& buffer, http_request& request)
{
    http::request_parser<http::string_body> parser;
    constexpr std::uint64_t max_body_bytes = 64U << 20U;
    parser.body_limit(max_body_bytes);
    parser.eager(true);
    while (!parser.is_done()) {
        boost::system::error_code error;
        if (!buffer.empty()) {
            const auto used = parser.put(boost::asio::buffer(buffer), error);
            buffer.erase(0, used);
            if (error && error != http::error::need_more) {
                return false;
            }
            if (parser.is_done()) {
                break;
            }
            if (!error && used > 0) {
                continue;
            }
        }
        std::array<char, 65536> piece{};
        const auto got = ::recv(descriptor, piece.data(), piece.size(), 0);
        if (got <= 0) {
            return false;
        }
        buffer.append(piece.data(), static_cast<std::size_t>(got));
    }
    request = parser.release();
    return true;
}

} // namespace

worker::worker(worker_options what, run_log& runs, work what_it_does)
    : options(std::move(what)), log(runs), runs_request(std::move(what_it_does))
{
}

worker::~worker()
{
    this->crash();
    for (auto& thread : this->threads) {
        thread.join();
    }
}

void worker::start()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->options.port);
    ::inet_pton(AF_INET, this->options.ip.c_str(), &address.sin_addr);
    constexpr int backlog = 256;
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        throw std::runtime_error("cannot listen on " + this->options.ip);
    }
    const std::lock_guard lock(this->mutex);
    this->listener = descriptor;
    const auto number = ++this->incarnation;
    this->up = true;
    this->threads.emplace_back([this, descriptor, number] { this->accept_all(descriptor, number); });
}

void worker::crash()
{
    const std::lock_guard lock(this->mutex);
    this->up = false;
    ++this->incarnation;
    this->born_ms = 0;
    if (this->listener >= 0) {
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        this->listener = -1;
    }
    for (const int each : this->connections) {
        ::shutdown(each, SHUT_RDWR);
    }
    this->slot_free.notify_all();
}

std::int64_t worker::born()
{
    if (this->born_ms == 0) {
        this->born_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
        this->sequence = 0;
    }
    return this->born_ms;
}

std::string worker::report()
{
    const std::lock_guard lock(this->mutex);
    return nlohmann::json{
        {"stage", "both"},
        {"models", {{{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}}}},
        {"busy", false},
        {"sequence", this->sequence},
        {"queued", this->waiting},
        {"running", this->running},
        {"kv-used", 0},
        {"kv-total", 431646},
        {"handles", 0},
        {"born", this->born()}}
        .dump();
}

std::string worker::entry()
{
    const std::lock_guard lock(this->mutex);
    const auto since = this->born();
    return nlohmann::json{{"service", this->options.service},
                          {"address", this->options.ip + ":" + std::to_string(this->options.port)},
                          {"zone", this->options.zone},
                          {"version", this->options.version},
                          {"slots", this->options.slots},
                          {"state", "ready"},
                          {"cold-left-ms", 0},
                          {"sequence", ++this->sequence},
                          {"born", since}}
        .dump();
}

std::string worker::response(const http_request& request, const std::string& body) const
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscusfall-Request-Id: " + field(request, "X-Hibiscusfall-Request-Id") +
           "\r\nX-Hibiscusfall-Server-Stamp: " + this->options.id +
           "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string worker::stream_head(const http_request& request) const
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscusfall-Request-Id: " + field(request, "X-Hibiscusfall-Request-Id") +
           "\r\nX-Hibiscusfall-Server-Stamp: " + this->options.id +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string worker::chunk(const std::string& bytes)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

bool worker::take_slot()
{
    std::unique_lock lock(this->mutex);
    if (this->running >= this->options.slots && this->waiting >= this->options.queue) {
        return false;
    }
    ++this->waiting;
    this->slot_free.wait(lock, [this] { return this->running < this->options.slots || !this->up; });
    --this->waiting;
    ++this->running;
    return true;
}

void worker::release_slot()
{
    const std::lock_guard lock(this->mutex);
    --this->running;
    this->slot_free.notify_one();
}

void worker::accept_all(int descriptor, std::uint64_t number)
{
    while (true) {
        const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        const int yes = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const std::lock_guard lock(this->mutex);
        if (!this->up || this->incarnation != number) {
            ::close(accepted);
            return;
        }
        this->connections.push_back(accepted);
        this->threads.emplace_back([this, accepted, number] {
            this->serve(accepted, number);
            const std::lock_guard closing(this->mutex);
            std::erase(this->connections, accepted);
            ::close(accepted);
        });
    }
}

void worker::serve(int descriptor, std::uint64_t number)
{
    std::string buffer;
    const writer write = [&](const std::string& bytes) {
        return this->incarnation == number && write_all(descriptor, bytes);
    };
    while (this->incarnation == number) {
        http_request request;
        if (!read_request(descriptor, buffer, request)) {
            return;
        }
        const auto target = std::string{request.target().data(), request.target().size()};
        if (target == "/health" || target == "/api/report") {
            const auto report = this->report();
            write("HTTP/1.1 200 OK\r\nX-Hibiscusfall-Instance-Id: " + this->options.id +
                  "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(report.size()) +
                  "\r\n\r\n" + report);
            continue;
        }
        const auto id = field(request, "X-Hibiscusfall-Request-Id");
        const auto expected = field(request, "X-Hibiscusfall-Expect-Instance");
        const auto refusal = [&](const std::string& status) {
            return write("HTTP/1.1 " + status + "\r\nX-Hibiscusfall-Request-Id: " + id +
                         "\r\nX-Hibiscusfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        };
        if (!expected.empty() && expected != this->options.id) {
            refusal("421 Misdirected Request");
            continue;
        }
        if (!this->take_slot()) {
            refusal("503 Service Unavailable");
            continue;
        }
        bool kept = false;
        if (this->incarnation == number) {
            this->log.add({.at = clock::now(),
                           .worker = this->options.id,
                           .id = id,
                           .tenant = field(request, "X-Hibiscusfall-Tenant"),
                           .credential = field(request, "X-Hibiscusfall-Credential")});
            kept = this->runs_request(*this, request, write);
        }
        this->release_slot();
        if (!kept) {
            return;
        }
    }
}

} // namespace hibiscusfall::review
