#include "standins/parts/link_proxy.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace hibiscusfall::standins
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::size_t largest_datagram = 65536;

struct datagram_link : std::enable_shared_from_this<datagram_link> {
    link_proxy& proxy;
    link_listener listener;
    udp::socket socket;
    udp::endpoint target;
    udp::endpoint source;
    std::array<char, largest_datagram> buffer{};

    datagram_link(link_proxy& owner, const link_listener& given)
        : proxy(owner), listener(given),
          socket(owner.context, udp::endpoint{given.listen, given.listen_port}),
          target(given.target, given.target_port)
    {
    }

    void receive()
    {
        this->socket.async_receive_from(
            asio::buffer(this->buffer),
            this->source,
            [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t length) {
                if (error == asio::error::operation_aborted) {
                    return;
                }
                if (!error) {
                    self->pass_on(length);
                }
                self->receive();
            });
    }

    void pass_on(std::size_t length)
    {
        const auto rule =
            rule_for(this->proxy.rules, this->proxy.place_of(this->source.address()), this->listener.name);
        if (rule.cut || this->proxy.happens(rule.drop)) {
            ++this->proxy.counters.dropped;
            return;
        }
        const auto bytes = std::make_shared<std::string>(this->buffer.data(), length);
        this->send_after(rule.delay, bytes);
        if (this->proxy.happens(rule.duplicate)) {
            ++this->proxy.counters.duplicated;
            this->send_after(rule.delay, bytes);
        }
    }

    void send_after(std::chrono::microseconds delay, const std::shared_ptr<std::string>& bytes)
    {
        ++this->proxy.counters.datagrams;
        this->proxy.counters.datagram_bytes += bytes->size();
        if (delay.count() == 0) {
            this->send(*bytes);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(this->proxy.context, delay);
        timer->async_wait([self = this->shared_from_this(), timer, bytes](
                              const boost::system::error_code& /*error*/) { self->send(*bytes); });
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored;
        this->socket.send_to(asio::buffer(bytes), this->target, 0, ignored);
    }
};

} // namespace

void start_datagram_link(link_proxy& proxy, const link_listener& listener)
{
    std::make_shared<datagram_link>(proxy, listener)->receive();
}

} // namespace hibiscusfall::standins
