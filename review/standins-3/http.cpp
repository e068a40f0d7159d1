#include "http.hpp"

#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <fcntl.h>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace standin
{

namespace
{

sockaddr_in to_socket_address(const address& from)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(from.port);
    inet_pton(AF_INET, from.host.c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    for (auto& each : text) {
        each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    }
    return text;
}

milliseconds left(instant until)
{
    return std::max(milliseconds{0},
                    std::chrono::duration_cast<milliseconds>(until - steady::now()) + milliseconds{1});
}

} // namespace

double seconds_between(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

void sleep_until(instant when)
{
    std::this_thread::sleep_until(when);
}

void sleep_for(milliseconds length)
{
    std::this_thread::sleep_for(length);
}

std::uint16_t free_port(const std::string& host)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = to_socket_address({host, 0});
    socklen_t size = sizeof at;
    if (::bind(probe, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
        ::getsockname(probe, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
        ::close(probe);
        throw std::runtime_error{"no free port on " + host};
    }
    ::close(probe);
    return ntohs(at.sin_port);
}

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string{} : found->second;
}

std::string message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string message::target() const
{
    const auto first = start.find(' ');
    const auto last = start.rfind(' ');
    return first == std::string::npos || last <= first ? std::string{}
                                                       : start.substr(first + 1, last - first - 1);
}

int message::status() const
{
    const auto first = start.find(' ');
    return first == std::string::npos ? 0 : std::atoi(start.c_str() + first + 1);
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (descriptor >= 0) {
        if (closes) {
            closes(descriptor);
        }
        ::close(descriptor);
        descriptor = -1;
    }
}

void connection::reset()
{
    if (descriptor >= 0) {
        const linger now{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty() && descriptor >= 0) {
        const auto sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return descriptor >= 0;
}

bool connection::more(milliseconds limit)
{
    if (descriptor < 0) {
        return false;
    }
    pollfd wait{descriptor, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(limit.count())) <= 0) {
        return false;
    }
    char space[16384];
    const auto got = ::recv(descriptor, space, sizeof space, 0);
    if (got <= 0) {
        return false;
    }
    buffer.append(space, static_cast<std::size_t>(got));
    return true;
}

bool connection::ended_by_peer() const
{
    char byte = 0;
    const auto got = descriptor < 0 ? 0 : ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::optional<message> connection::receive_head(milliseconds limit)
{
    const auto until = steady::now() + limit;
    while (buffer.find("\r\n\r\n") == std::string::npos) {
        if (!more(left(until)) || steady::now() > until) {
            return std::nullopt;
        }
    }
    const auto end = buffer.find("\r\n\r\n");
    const auto head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    message result;
    std::size_t position = head.find("\r\n");
    result.start = head.substr(0, position);
    position += 2;
    while (position < head.size()) {
        const auto next = head.find("\r\n", position);
        const auto line = head.substr(position, next - position);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            result.headers[lower(line.substr(0, colon))] = value;
        }
        position = next + 2;
    }
    return result;
}

void connection::receive_body(message& to, milliseconds limit, bool is_response)
{
    const auto until = steady::now() + limit;
    const auto have = [&](std::size_t bytes) {
        while (buffer.size() < bytes) {
            if (!more(left(until)) || steady::now() > until) {
                return false;
            }
        }
        return true;
    };
    if (lower(to.header("transfer-encoding")) == "chunked") {
        while (true) {
            while (buffer.find("\r\n") == std::string::npos) {
                if (!more(left(until)) || steady::now() > until) {
                    return;
                }
            }
            const auto size = std::stoul(buffer, nullptr, 16);
            const auto head = buffer.find("\r\n") + 2;
            if (!have(head + size + 2)) {
                return;
            }
            to.body.append(buffer, head, size);
            buffer.erase(0, head + size + 2);
            if (size == 0) {
                to.whole = true;
                return;
            }
            ++to.pieces;
        }
    }
    const auto length = to.header("content-length");
    if (!length.empty()) {
        const auto size = std::stoul(length);
        to.whole = have(size);
        to.body = buffer.substr(0, size);
        buffer.erase(0, to.body.size());
        return;
    }
    if (is_response) {
        while (more(left(until)) && steady::now() <= until) {
        }
        to.body = std::exchange(buffer, {});
    }
    to.whole = true;
}

std::optional<message> connection::receive(milliseconds limit, bool is_response)
{
    auto result = receive_head(limit);
    if (result) {
        receive_body(*result, limit, is_response);
    }
    return result;
}

std::unique_ptr<connection> connect_to(const address& to, milliseconds limit)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    const auto at = to_socket_address(to);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 &&
        errno != EINPROGRESS) {
        ::close(descriptor);
        return nullptr;
    }
    pollfd wait{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&wait, 1, static_cast<int>(limit.count())) <= 0 ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(descriptor);
        return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(descriptor);
}

struct listener::state {
    int descriptor = -1;
    handler run;
    std::thread accepting;
    std::mutex guard;
    std::set<int> open;
    bool aborted = false;
};

listener::listener(const address& at, handler run) : shared(std::make_shared<state>())
{
    shared->run = std::move(run);
    shared->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(shared->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = to_socket_address(at);
    if (::bind(shared->descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 ||
        ::listen(shared->descriptor, 256) != 0) {
        throw std::runtime_error{"cannot listen on " + at.text()};
    }
    shared->accepting = std::thread{[kept = shared] {
        while (true) {
            const int accepted = ::accept4(kept->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            const int no_delay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
            {
                const std::lock_guard lock{kept->guard};
                if (kept->aborted) {
                    ::close(accepted);
                    continue;
                }
                kept->open.insert(accepted);
            }
            std::thread{[kept, accepted] {
                connection client{accepted, [kept](int closing) {
                                      const std::lock_guard lock{kept->guard};
                                      kept->open.erase(closing);
                                  }};
                kept->run(client);
            }}.detach();
        }
    }};
}

void listener::stop()
{
    if (shared->descriptor >= 0) {
        ::shutdown(shared->descriptor, SHUT_RDWR);
        if (shared->accepting.joinable()) {
            shared->accepting.join();
        }
        ::close(shared->descriptor);
        shared->descriptor = -1;
    }
}

void listener::abort()
{
    stop();
    const std::lock_guard lock{shared->guard};
    shared->aborted = true;
    for (const int each : shared->open) {
        ::shutdown(each, SHUT_RDWR);
    }
}

listener::~listener()
{
    stop();
}

} // namespace standin
