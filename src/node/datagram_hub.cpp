#include "hibiscusfall/node/datagram_hub.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <utility>

namespace hibiscusfall::node
{

namespace
{

namespace asio = boost::asio;

/// Messages in one datagram stay well under one Ethernet frame where they can.
constexpr std::size_t preferred_body_bytes = 1200;

/// Senders whose sequence numbers are remembered.
constexpr std::size_t most_windows = 4096;

asio::ip::udp::endpoint to_endpoint(const core::address& value)
{
    return {asio::ip::make_address(value.host), value.port};
}

} // namespace

struct datagram_hub::udp_socket {
    asio::io_context context;
    asio::ip::udp::socket handle{context};
    std::atomic<bool> closing = false;
};

datagram_hub::datagram_hub(control_loop& control, datagram_hub_options given)
    : loop(control), options(std::move(given)), socket(std::make_unique<udp_socket>())
{
}

datagram_hub::~datagram_hub()
{
    this->stop();
}

std::optional<std::string> datagram_hub::start()
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(this->options.listen.host, error);
    if (error) {
        return "address " + this->options.listen.host + ": " + error.message();
    }
    this->socket->handle.open(asio::ip::udp::v4(), error);
    if (!error) {
        this->socket->handle.bind({address, this->options.listen.port}, error);
    }
    if (error) {
        return "UDP " + core::to_string(this->options.listen) + ": " + error.message();
    }
    this->loop.after_each_turn([this](core::instant now) { this->flush(now); });
    this->receiver = std::thread([this] { this->receive(); });
    return std::nullopt;
}

void datagram_hub::stop()
{
    if (!this->receiver.joinable()) {
        return;
    }
    this->socket->closing = true;
    boost::system::error_code ignored;
    this->socket->handle.shutdown(asio::ip::udp::socket::shutdown_both, ignored);
    this->receiver.join();
    this->socket->handle.close(ignored);
}

void datagram_hub::receive()
{
    std::vector<char> buffer(protocol::max_datagram_bytes + 1);
    while (!this->socket->closing) {
        asio::ip::udp::endpoint source;
        boost::system::error_code error;
        const auto length = this->socket->handle.receive_from(asio::buffer(buffer), source, 0, error);
        if (error || this->socket->closing) {
            continue;
        }
        std::vector<char> bytes(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(length));
        this->loop.post([this, bytes = std::move(bytes)](core::instant now) { this->accept(bytes, now); });
    }
}

void datagram_hub::accept(const std::vector<char>& bytes, core::instant now)
{
    ++this->totals.received_datagrams;
    this->totals.received_bytes += bytes.size();
    protocol::datagram_fault fault{};
    const auto value = protocol::decode(bytes, this->options.key, fault);
    if (!value) {
        ++this->totals.dropped.at(static_cast<std::size_t>(fault));
        return;
    }
    if (this->windows.size() >= most_windows && !this->windows.contains(value->from.id)) {
        // Senders that are long gone; membership refuses their old incarnations.
        this->windows.clear();
    }
    if (!this->windows[value->from.id].accept(value->from.incarnation, value->sequence)) {
        ++this->totals.replayed;
        return;
    }
    for (const auto& body : value->messages) {
        this->deliver(value->from, body, now);
    }
}

void datagram_hub::deliver(const protocol::sender& from, const protocol::message& body, core::instant now)
{
    const auto& call = this->handlers.at(body.index());
    if (call) {
        call(from, body, now);
    }
}

void datagram_hub::send(const core::instance_id& to, protocol::message body)
{
    this->by_instance[to].push_back(std::move(body));
}

void datagram_hub::send(const core::address& to, protocol::message body)
{
    this->by_address[to].push_back(std::move(body));
}

void datagram_hub::flush(core::instant now)
{
    // Delivering to this instance itself may bring up further messages.
    while (!this->by_instance.empty() || !this->by_address.empty()) {
        auto instances = std::exchange(this->by_instance, {});
        auto addresses = std::exchange(this->by_address, {});
        for (auto& [id, messages] : instances) {
            if (id == this->options.self.id) {
                for (const auto& body : messages) {
                    this->deliver(this->options.self, body, now);
                }
            } else if (const auto address = this->options.address_of(id)) {
                this->transmit(*address, std::move(messages));
            }
        }
        for (auto& [address, messages] : addresses) {
            this->transmit(address, std::move(messages));
        }
    }
}

void datagram_hub::transmit(const core::address& to, std::vector<protocol::message> messages)
{
    std::size_t next = 0;
    while (next < messages.size()) {
        protocol::datagram value{.from = this->options.self, .sequence = ++this->sequence, .messages = {}};
        std::size_t bytes = 0;
        while (next < messages.size()) {
            const auto size = protocol::encoded_size(messages[next]);
            if (!value.messages.empty() && bytes + size > preferred_body_bytes) {
                break;
            }
            bytes += size;
            ++this->totals.sent_messages.at(messages[next].index());
            this->totals.sent_message_bytes.at(messages[next].index()) += size;
            value.messages.push_back(std::move(messages[next++]));
        }
        const auto encoded = protocol::encode(value, this->options.key);
        boost::system::error_code error;
        this->socket->handle.send_to(asio::buffer(encoded), to_endpoint(to), 0, error);
        ++this->totals.sent_datagrams;
        this->totals.sent_bytes += encoded.size();
    }
}

} // namespace hibiscusfall::node
