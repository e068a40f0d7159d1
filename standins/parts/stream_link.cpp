#include "standins/parts/link_proxy.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <sys/socket.h>

namespace hibiscusfall::standins
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t piece_bytes = 16384;
constexpr auto cut_check_interval = std::chrono::milliseconds{20};

/// Both sides of one connection.
struct stream_pair {
    link_proxy& proxy;
    tcp::socket client;
    tcp::socket server;

    void close()
    {
        boost::system::error_code ignored;
        this->client.close(ignored);
        this->server.close(ignored);
    }

    /// Ends the connections, even if a started process has inherited them.
    void end()
    {
        boost::system::error_code ignored;
        this->client.shutdown(tcp::socket::shutdown_both, ignored);
        this->server.shutdown(tcp::socket::shutdown_both, ignored);
        this->close();
    }
};

/// One direction of one connection: reads a piece, waits as the rule says, writes it, and so on.
struct stream_pump : std::enable_shared_from_this<stream_pump> {
    std::shared_ptr<stream_pair> pair;
    tcp::socket& from;
    tcp::socket& to;
    std::string from_place;
    std::string to_place;
    asio::steady_timer timer;
    std::uint64_t passed = 0;
    std::size_t length = 0;
    std::array<char, piece_bytes> piece{};

    stream_pump(std::shared_ptr<stream_pair> both,
                tcp::socket& source,
                tcp::socket& sink,
                std::string source_place,
                std::string sink_place)
        : pair(std::move(both)), from(source), to(sink), from_place(std::move(source_place)),
          to_place(std::move(sink_place)), timer(this->pair->proxy.context)
    {
    }

    [[nodiscard]] link_rule rule() const
    {
        return rule_for(this->pair->proxy.rules, this->from_place, this->to_place);
    }

    void read()
    {
        this->from.async_read_some(
            asio::buffer(this->piece),
            [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
                if (!error) {
                    self->length = bytes;
                    self->wait(self->rule().delay);
                } else if (error == asio::error::eof) {
                    self->end(self->rule().delay);
                } else {
                    self->pair->close();
                }
            });
    }

    void wait(std::chrono::microseconds delay)
    {
        this->timer.expires_after(delay);
        this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& /*error*/) {
            if (self->rule().cut) {
                self->wait(cut_check_interval);
            } else {
                self->write();
            }
        });
    }

    void write()
    {
        const auto limit = this->rule().close_after_bytes;
        const bool closes = limit > 0 && this->passed + this->length >= limit;
        if (closes) {
            this->length = static_cast<std::size_t>(limit > this->passed ? limit - this->passed : 0);
        }
        asio::async_write(this->to,
                          asio::buffer(this->piece.data(), this->length),
                          [self = this->shared_from_this(), closes](const boost::system::error_code& error,
                                                                    std::size_t bytes) {
                              self->passed += bytes;
                              if (closes) {
                                  ++self->pair->proxy.counters.closed_midway;
                              }
                              if (error || closes) {
                                  self->pair->close();
                              } else {
                                  self->read();
                              }
                          });
    }

    void end(std::chrono::microseconds delay)
    {
        this->timer.expires_after(delay);
        this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& /*error*/) {
            if (self->rule().cut) {
                self->end(cut_check_interval);
                return;
            }
            boost::system::error_code ignored;
            self->to.shutdown(tcp::socket::shutdown_send, ignored);
        });
    }
};

struct stream_link : std::enable_shared_from_this<stream_link> {
    link_proxy& proxy;
    link_listener listener;
    tcp::acceptor acceptor;
    bool accepts = true;
    std::vector<std::weak_ptr<stream_pair>> pairs;

    stream_link(link_proxy& owner, const link_listener& given)
        : proxy(owner), listener(given),
          acceptor(owner.context, tcp::endpoint{given.listen, given.listen_port})
    {
    }

    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const boost::system::error_code& error, tcp::socket client) {
                if (error == asio::error::operation_aborted || !self->accepts) {
                    return;
                }
                if (!error) {
                    self->connect(std::move(client));
                }
                self->accept();
            });
    }

    void set_accepting(bool wanted)
    {
        this->accepts = wanted;
        if (wanted) {
            this->acceptor.listen();
            this->accept();
            return;
        }
        this->acceptor.cancel();
        // The socket stays bound and refuses connections, as does the copy that a started process inherited.
        ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
        for (const auto& each : this->pairs) {
            if (const auto pair = each.lock()) {
                pair->end();
            }
        }
        this->pairs.clear();
    }

    void connect(tcp::socket client)
    {
        ++this->proxy.counters.connections;
        boost::system::error_code error;
        const auto peer = client.remote_endpoint(error);
        if (error) {
            return;
        }
        const auto source =
            this->listener.source.empty() ? this->proxy.place_of(peer.address()) : this->listener.source;
        auto pair = std::make_shared<stream_pair>(
            stream_pair{this->proxy, std::move(client), tcp::socket{this->proxy.context}});
        std::erase_if(this->pairs, [](const auto& each) { return each.expired(); });
        this->pairs.push_back(pair);
        pair->server.async_connect(
            {this->listener.target, this->listener.target_port},
            [self = this->shared_from_this(), pair, source](const boost::system::error_code& failure) {
                if (failure) {
                    pair->close();
                    return;
                }
                boost::system::error_code ignored;
                pair->client.set_option(tcp::no_delay(true), ignored);
                pair->server.set_option(tcp::no_delay(true), ignored);
                const auto& name = self->listener.name;
                std::make_shared<stream_pump>(pair, pair->client, pair->server, source, name)->read();
                std::make_shared<stream_pump>(pair, pair->server, pair->client, name, source)->read();
            });
    }
};

} // namespace

void start_stream_link(link_proxy& proxy, const link_listener& listener)
{
    const auto link = std::make_shared<stream_link>(proxy, listener);
    link->accept();
    proxy.listeners.emplace(listener.name, [link](bool accepts) { link->set_accepting(accepts); });
}

void set_accepting(link_proxy& proxy, const std::string& place, bool accepts)
{
    const auto [first, last] = proxy.listeners.equal_range(place);
    for (auto each = first; each != last; ++each) {
        each->second(accepts);
    }
}

} // namespace hibiscusfall::standins
