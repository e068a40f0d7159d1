#include "peer_calls.hpp"

#include "hibiscusfall/protocol/codec.hpp"

#include <algorithm>
#include <string>

namespace hibiscusfall::node::detail
{

rpc::call_key peer_call_key(std::string_view fleet_secret)
{
    const auto derived =
        protocol::shared_key::from_secret("calls between instances/" + std::string{fleet_secret});
    rpc::call_key key{};
    std::copy_n(derived.bytes().begin(), key.size(), key.begin());
    return key;
}

rpc::call_result call_peer(const rpc::call_key& key,
                           const core::address& to,
                           const char* method,
                           const rpc::fields& parameters,
                           std::chrono::milliseconds timeout)
{
    const auto connect_timeout = timeout / 4;
    const rpc::client_options options{
        .key = key, .connect_timeout = connect_timeout, .answer_timeout = timeout - connect_timeout};
    return rpc::call(options, {to.host, to.port}, method, parameters);
}

} // namespace hibiscusfall::node::detail
