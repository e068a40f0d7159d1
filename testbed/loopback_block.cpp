#include "testbed/loopback_block.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace hibiscusfall::testbed
{

namespace
{

constexpr std::uint32_t loopback_network = 127U << 24U;
constexpr std::uint32_t block_size = 256;
constexpr std::uint32_t block_count = 65536;
constexpr std::uint32_t holder_number = 254;
constexpr std::uint16_t holder_port = 40999;

std::string to_text(std::uint32_t address)
{
    in_addr raw{.s_addr = htonl(address)};
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &raw, text, sizeof text);
    return text;
}

int listen_on(std::uint32_t address, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    target.sin_addr.s_addr = htonl(address);
    if (socket < 0 || ::bind(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 ||
        ::listen(socket, 1) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

} // namespace

loopback_block::loopback_block()
{
    // The first blocks are left to programs that use the usual loopback addresses.
    constexpr std::uint32_t first_block = 256;
    const auto wanted = static_cast<std::uint32_t>(::getpid());
    for (std::uint32_t attempt = 0; attempt < block_count && this->holder < 0; ++attempt) {
        const auto number = first_block + (wanted + attempt) % (block_count - first_block);
        this->base = loopback_network + number * block_size;
        this->holder = listen_on(this->base + holder_number, holder_port);
    }
    if (this->holder < 0) {
        throw std::runtime_error("no block of loopback addresses is free");
    }
}

loopback_block::~loopback_block()
{
    ::close(this->holder);
}

std::string loopback_block::host(int number) const
{
    return to_text(this->base + static_cast<std::uint32_t>(number));
}

std::uint16_t find_free_port(const std::string& host)
{
    in_addr raw{};
    ::inet_pton(AF_INET, host.c_str(), &raw);
    const int socket = listen_on(ntohl(raw.s_addr), 0);
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    if (socket < 0 || ::getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &length) != 0) {
        throw std::runtime_error("no free port on " + host);
    }
    ::close(socket);
    return ntohs(bound.sin_port);
}

} // namespace hibiscusfall::testbed
