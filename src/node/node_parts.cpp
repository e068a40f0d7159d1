#include "node_parts.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace hibiscusfall::node::detail
{

namespace
{

/// A number that grows from one start to the next: the wall clock in microseconds.
std::uint64_t new_incarnation(std::uint64_t lowest)
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::max(lowest,
                    static_cast<std::uint64_t>(
                        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()));
}

std::optional<core::address> find_address(const node_core& core_parts, const core::instance_id& id)
{
    const auto* found = membership::find_address(core_parts.members, id);
    return found == nullptr ? std::nullopt : std::optional{*found};
}

} // namespace

node_core::node_core(const settings::router_settings& given, start_options how)
    : settings(given),
      start(std::move(how)), self{.id = given.id,
                                  .incarnation = new_incarnation(this->start.lowest_incarnation)},
      hub(this->loop,
          datagram_hub_options{
              .listen = given.inner,
              .self = this->self,
              .key = protocol::shared_key::from_secret(given.fleet_secret),
              .address_of = [this](const core::instance_id& id) { return find_address(*this, id); }})
{
    membership::start(this->members,
                      {.id = given.id,
                       .domain = given.domain,
                       .inner = given.advertised_inner,
                       .operators = given.advertised_operators,
                       .incarnation = this->self.incarnation,
                       .status = protocol::member_status::alive},
                      given.seeds,
                      this->self.incarnation ^ std::hash<core::instance_id>{}(given.id));
}

std::shared_ptr<const configuration::document> effective_configuration(const node_core& parts)
{
    auto current = parts.configuration.current();
    if (!current || parts.leaving.until.empty()) {
        return current;
    }
    auto marked = std::make_shared<configuration::document>(*current);
    for (const auto& id : membership::leaving_set(parts.leaving)) {
        if (const auto found = marked->endpoints.find(id); found != marked->endpoints.end()) {
            found->second.draining = true;
        }
    }
    return marked;
}

} // namespace hibiscusfall::node::detail
