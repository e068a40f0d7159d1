#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/node/control_loop.hpp"
#include "hibiscusfall/protocol/codec.hpp"
#include "hibiscusfall/protocol/message.hpp"
#include "hibiscusfall/protocol/replay_window.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace hibiscusfall::node
{

/// @brief What the hub has sent, received and dropped.
struct datagram_counters {
    std::uint64_t sent_datagrams = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_datagrams = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t replayed = 0;
    std::array<std::uint64_t, std::variant_size_v<protocol::message>> sent_messages{};      ///< By kind.
    std::array<std::uint64_t, std::variant_size_v<protocol::message>> sent_message_bytes{}; ///< By kind.
    std::array<std::uint64_t, 5> dropped{}; ///< By protocol::datagram_fault.
};

/// @brief What a hub needs to know.
struct datagram_hub_options {
    core::address listen;
    protocol::sender self;
    protocol::shared_key key;

    /// Where an instance takes datagrams; nothing when it is unknown.
    std::function<std::optional<core::address>(const core::instance_id&)> address_of;
};

/// @brief Sends and receives the datagrams of this instance. Messages to one receiver that come up in
/// the same turn of the control loop travel together.
class datagram_hub
{
public:
    /// Takes one received message, on the control thread.
    using handler = std::function<void(const protocol::sender&, const protocol::message&, core::instant now)>;

    datagram_hub(control_loop& loop, datagram_hub_options given);
    ~datagram_hub();
    datagram_hub(const datagram_hub&) = delete;
    datagram_hub& operator=(const datagram_hub&) = delete;

    /// @name Before the start
    /// @brief Sets who takes messages of one type.
    template <class type, class function>
    void on(function call)
    {
        this->handlers.at(protocol::message{type{}}.index()) =
            [call = std::move(call)](const protocol::sender& from,
                                     const protocol::message& body,
                                     core::instant now) { call(from, std::get<type>(body), now); };
    }

    /// @brief Opens the socket and starts receiving.
    /// @returns Nothing when it worked, otherwise why it did not.
    [[nodiscard]] std::optional<std::string> start();

    void stop();

    /// @name On the control thread
    /// @brief Sends with the end of this turn. A message to this instance itself is delivered then, too.
    void send(const core::instance_id& to, protocol::message body);

    /// @brief Sends to an address whose instance is not known yet.
    void send(const core::address& to, protocol::message body);

    /// @brief Sends all that was collected.
    void flush(core::instant now);

    [[nodiscard]] const datagram_counters& counters() const noexcept { return this->totals; }

private:
    struct udp_socket;

    void receive();
    void accept(const std::vector<char>& bytes, core::instant now);
    void transmit(const core::address& to, std::vector<protocol::message> messages);
    void deliver(const protocol::sender& from, const protocol::message& body, core::instant now);

    control_loop& loop;
    datagram_hub_options options;
    std::array<handler, std::variant_size_v<protocol::message>> handlers;
    std::map<core::instance_id, std::vector<protocol::message>> by_instance;
    std::map<core::address, std::vector<protocol::message>> by_address;
    std::map<core::instance_id, protocol::replay_window> windows;
    std::uint64_t sequence = 0;
    datagram_counters totals;
    std::unique_ptr<udp_socket> socket;
    std::thread receiver;
};

} // namespace hibiscusfall::node
