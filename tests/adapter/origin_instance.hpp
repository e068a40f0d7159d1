#pragma once

#include "entry_process.hpp"
#include "origin_store.hpp"
#include "platform_store.hpp"

#include "hibiscusfall/dispatch/record_need.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <initializer_list>
#include <memory>
#include <ostream>
#include <span>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hibiscusfall::relay
{

inline std::ostream& operator<<(std::ostream& out, origin_state state)
{
    return out << (state == origin_state::known     ? "known"
                   : state == origin_state::unknown ? "unknown"
                                                    : "unavailable");
}

} // namespace hibiscusfall::relay

namespace hibiscusfall::testing
{

using relay::origin_reading;
using relay::origin_state;

inline constexpr dispatch::team_tag team = 7;
inline const core::service_id service{"s1"};
/// Time in which an instance writes several batches.
inline constexpr std::chrono::milliseconds several_batches{700};

inline bool eventually(const std::function<bool()>& condition)
{
    return eventually(condition, std::chrono::seconds{10});
}

/// @brief One instance: an origin_store with its own memory, on its own thread.
class instance
{
public:
    explicit instance(const platform_store& store,
                      adapter::store_rates rates = {},
                      adapter::origin_times times = {})
        : instance(store.address(), rates, times)
    {
    }

    explicit instance(core::address store, adapter::store_rates rates = {}, adapter::origin_times times = {})
        : origins_in_store(
              this->loop,
              std::move(store),
              rates,
              this->origins,
              [] { return 1U; },
              [this] { ++this->version_changes; },
              times)
    {
        this->origins_in_store.start();
        this->thread = std::thread{[this] { this->loop.run(); }};
    }

    ~instance()
    {
        boost::asio::post(this->loop.context(), [this] { this->loop.stop(); });
        this->thread.join();
    }

    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    template <class task>
    auto on_loop(task work)
    {
        std::promise<decltype(work())> result;
        boost::asio::post(this->loop.context(), [&] { result.set_value(work()); });
        return result.get_future().get();
    }

    /// @brief Applies an endpoint list with one endpoint of each version.
    /// @returns The versions at which streams may begin right after that.
    std::vector<std::string> list(std::initializer_list<std::string> versions)
    {
        catalog::endpoint_list endpoints;
        for (const auto& each : versions) {
            const auto key = "servers/" + each;
            endpoints.entries[key] = catalog::endpoint{.id = core::endpoint_id{each},
                                                       .service = service,
                                                       .address = {.host = "10.0.0.9", .port = 1},
                                                       .domain = core::failure_domain_id{"north"},
                                                       .software_version = each};
        }
        return this->on_loop([&] {
            this->origins_in_store.update(endpoints);
            std::vector<std::string> allowed;
            for (const auto& each : versions) {
                if (dispatch::may_begin(this->origins, service, each)) {
                    allowed.push_back(each);
                }
            }
            return allowed;
        });
    }

    bool may_begin(const std::string& version)
    {
        return this->on_loop([&] { return dispatch::may_begin(this->origins, service, version); });
    }

    bool is_deprioritized(const std::string& version)
    {
        return this->on_loop([&] { return dispatch::is_deprioritized(this->origins, service, version); });
    }

    /// @brief Lists the versions and waits until streams may begin at all of them.
    bool serve(std::initializer_list<std::string> versions)
    {
        this->list(versions);
        return eventually([&] {
            return std::all_of(
                versions.begin(), versions.end(), [&](const auto& each) { return this->may_begin(each); });
        });
    }

    bool uses_unregistered()
    {
        return this->on_loop([&] { return this->origins.services.at(service).use_unregistered; });
    }

    void begin(const std::string& id,
               const std::string& version,
               dispatch::team_tag of = team,
               core::duration lasts = std::chrono::minutes{15})
    {
        this->on_loop([&] {
            const auto now = relay::event_loop::now();
            dispatch::record_origin(this->origins,
                                    {.stream = dispatch::tag_of_stream(of, service, id),
                                     .service = service,
                                     .version = version,
                                     .expires = now + lasts},
                                    now);
            return true;
        });
    }

    std::future<origin_reading> start_find(const std::string& id, dispatch::team_tag of = team)
    {
        auto result = std::make_shared<std::promise<origin_reading>>();
        auto future = result->get_future();
        const auto stream = dispatch::tag_of_stream(of, service, id);
        boost::asio::co_spawn(this->loop.context(),
                              this->origins_in_store.find(service, stream),
                              [result](const std::exception_ptr& failure, origin_reading reading) {
                                  if (failure) {
                                      result->set_exception(failure);
                                  } else {
                                      result->set_value(std::move(reading));
                                  }
                              });
        return future;
    }

    origin_reading find(const std::string& id, dispatch::team_tag of = team)
    {
        return this->start_find(id, of).get();
    }

    /// @brief The version at which a stream is found to have begun; the state in parentheses if not known.
    std::string found(const std::string& id, dispatch::team_tag of = team)
    {
        const auto reading = this->find(id, of);
        return reading.state == origin_state::known     ? reading.version
               : reading.state == origin_state::unknown ? "(unknown)"
                                                        : "(unavailable)";
    }

    /// @brief What is found of a stream, however slow the machine is: again while the store is not read in
    /// time.
    std::string found_in_the_end(const std::string& id)
    {
        std::string result;
        eventually([&] { return (result = this->found(id)) != "(unavailable)"; });
        return result;
    }

    void learn_era(std::uint64_t era)
    {
        this->on_loop([&] {
            this->origins_in_store.note_era(era);
            return true;
        });
    }

    /// @brief Hands origins to @p helper, which confirms them, as peers do with datagrams.
    void hand_over_to(instance& helper)
    {
        this->on_loop([&] {
            this->origins_in_store.set_peers({.hand_over = [&](std::span<const dispatch::stream_origin> due) {
                boost::asio::post(helper.loop.context(),
                                  [&helper, origins = std::vector(due.begin(), due.end())] {
                                      helper.origins_in_store.store_for_peer(sender, origins);
                                  });
            }});
            return true;
        });
        helper.on_loop([&] {
            helper.origins_in_store.set_peers({.confirm = [this](
                                                              const core::address& peer,
                                                              std::span<const dispatch::stream_origin> stored,
                                                              std::uint64_t lease) {
                BOOST_TEST((peer == sender));
                boost::asio::post(
                    this->loop.context(), [this, origins = std::vector(stored.begin(), stored.end()), lease] {
                        for (const auto& each : origins) {
                            this->origins_in_store.note_stored_by_peer(each.stream, each.moves, lease);
                        }
                    });
            }});
            return true;
        });
    }

    bool is_stored(const std::string& id)
    {
        return this->on_loop([&] {
            const auto stream = dispatch::tag_of_stream(team, service, id);
            const auto* origin = dispatch::find_origin(this->origins, stream, relay::event_loop::now());
            return origin != nullptr && origin->stored;
        });
    }

    bool is_known_elsewhere(const std::string& id)
    {
        return this->on_loop(
            [&] { return dispatch::is_known_elsewhere(this->origins, this->origin_of(id)); });
    }

    dispatch::record_need need_of_record(const std::string& id)
    {
        return this->on_loop([&] { return dispatch::need_of_record(this->origins, this->origin_of(id)); });
    }

    /// @brief Whether the instance holds the origin, its own or one for a peer.
    bool holds(const std::string& id)
    {
        return this->on_loop(
            [&] { return this->origins.known.contains(dispatch::tag_of_stream(team, service, id)); });
    }

    adapter::origin_counters counts()
    {
        return this->on_loop([&] { return this->origins_in_store.counts(); });
    }

    std::atomic<int> version_changes{0};

private:
    [[nodiscard]] const dispatch::stream_origin& origin_of(const std::string& id) const
    {
        return this->origins.known.at(dispatch::tag_of_stream(team, service, id));
    }

    inline static const core::address sender{.host = "10.0.0.7", .port = 7};

    relay::event_loop loop;
    dispatch::stream_origins origins;
    adapter::origin_store origins_in_store;
    std::thread thread;
};

/// @brief What an instance without memory finds of a stream, see @c instance::found_in_the_end.
inline std::string found_without_memory(const platform_store& store, const std::string& id)
{
    instance started{store};
    return started.found_in_the_end(id);
}

/// @brief The versions that the store names for the service; sorted, with a comma after each.
inline std::string registered(platform_store& store)
{
    const auto keys = store.keys("versions/");
    const auto value = keys.empty() ? std::nullopt : store.value(keys.front());
    const auto parsed = nlohmann::json::parse(value.value_or(""), nullptr, false);
    if (!parsed.is_object()) {
        return "none";
    }
    auto versions = parsed.at("versions").get<std::vector<std::string>>();
    std::sort(versions.begin(), versions.end());
    std::string result;
    for (const auto& each : versions) {
        result += each + ",";
    }
    return result;
}

inline std::size_t stored_streams(platform_store& store)
{
    return store.keys("streams/").size();
}

} // namespace hibiscusfall::testing
