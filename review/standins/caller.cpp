#include "caller.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace hibiscusfall::review
{

namespace
{

int milliseconds_until(instant until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
    return static_cast<int>(std::max<long>(0, left));
}

} // namespace

caller::~caller()
{
    this->close();
}

void caller::close()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
    this->descriptor = -1;
    this->buffer.clear();
}

bool caller::connect(int limit_ms)
{
    this->close();
    this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(this->port);
    ::inet_pton(AF_INET, this->address.c_str(), &to.sin_addr);
    (void)::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    pollfd wait{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&wait, 1, limit_ms) != 1 ||
        ::getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        this->close();
        return false;
    }
    return true;
}

bool caller::send(std::string_view bytes)
{
    constexpr int write_limit_ms = 10000;
    while (!bytes.empty()) {
        const auto sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        pollfd wait{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
        if (errno != EAGAIN || ::poll(&wait, 1, write_limit_ms) != 1 || (wait.revents & POLLERR) != 0) {
            return false;
        }
    }
    return true;
}

bool caller::receive(instant until)
{
    pollfd wait{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    if (this->descriptor < 0 || ::poll(&wait, 1, milliseconds_until(until)) != 1) {
        return false;
    }
    std::array<char, 16384> piece{};
    const auto got = ::recv(this->descriptor, piece.data(), piece.size(), 0);
    if (got <= 0) {
        // A reset is no end of a response.
        this->complete = this->complete || (got == 0 && this->until_end);
        return false;
    }
    this->buffer.append(piece.data(), static_cast<std::size_t>(got));
    return true;
}

bool caller::read_line(std::string& line, instant until)
{
    auto end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!this->receive(until)) {
            return false;
        }
        end = this->buffer.find("\r\n");
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
}

bool caller::read_head(instant until)
{
    this->status = 0;
    this->fields.clear();
    this->body.clear();
    this->complete = false;
    this->until_end = false;
    std::string line;
    if (!this->read_line(line, until) || line.size() < 12 || !line.starts_with("HTTP/1.1 ")) {
        return false;
    }
    const int code = std::stoi(line.substr(9, 3));
    while (true) {
        if (!this->read_line(line, until)) {
            return false;
        }
        if (line.empty()) {
            break;
        }
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        const auto from = line.find_first_not_of(' ', colon + 1);
        this->fields[name] = from == std::string::npos ? "" : line.substr(from);
    }
    this->status = code;
    this->chunked = this->fields["transfer-encoding"] == "chunked";
    this->left = 0;
    if (!this->chunked) {
        this->until_end = !this->fields.contains("content-length");
        this->left = this->until_end ? 0 : std::stol(this->fields["content-length"]);
        this->complete = !this->until_end && this->left == 0;
    }
    return true;
}

bool caller::read_piece(instant until)
{
    if (this->complete) {
        return false;
    }
    if (this->chunked && this->left == 0) {
        std::string line;
        if (!this->read_line(line, until)) {
            return false;
        }
        constexpr int hexadecimal = 16;
        this->left = std::stol(line, nullptr, hexadecimal);
        if (this->left == 0) {
            this->complete = this->read_line(line, until);
            return false;
        }
    }
    if (this->buffer.empty() && !this->receive(until)) {
        return false;
    }
    const auto count =
        this->until_end ? this->buffer.size() : std::min<std::size_t>(this->buffer.size(), this->left);
    this->body.append(this->buffer, 0, count);
    this->buffer.erase(0, count);
    this->left -= this->until_end ? 0 : static_cast<long>(count);
    if (this->chunked && this->left == 0) {
        std::string line;
        return this->read_line(line, until);
    }
    this->complete = !this->chunked && !this->until_end && this->left == 0;
    return true;
}

} // namespace hibiscusfall::review
