#include "origin_store.hpp"
#include "platform_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <initializer_list>
#include <thread>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using relay::origin_reading;
using relay::origin_state;
using testing::platform_store;

namespace hibiscusfall::relay
{

std::ostream& operator<<(std::ostream& out, origin_state state)
{
    return out << (state == origin_state::known     ? "known"
                   : state == origin_state::unknown ? "unknown"
                                                    : "unavailable");
}

} // namespace hibiscusfall::relay

namespace
{

constexpr dispatch::team_tag team = 7;
const core::service_id service{"s1"};

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit = 10s)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(2ms);
    }
    return true;
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
               core::duration lasts = 15min)
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

    adapter::origin_counters counts()
    {
        return this->on_loop([&] { return this->origins_in_store.counts(); });
    }

    std::atomic<int> version_changes{0};

private:
    inline static const core::address sender{.host = "10.0.0.7", .port = 7};

    relay::event_loop loop;
    dispatch::stream_origins origins;
    adapter::origin_store origins_in_store;
    std::thread thread;
};

/// @brief The versions that the store names for the service; sorted, with a comma after each.
std::string registered(platform_store& store)
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

std::size_t stored_streams(platform_store& store)
{
    return store.keys("streams/").size();
}

constexpr auto several_batches = 700ms;

} // namespace

BOOST_AUTO_TEST_SUITE(origin_store_test)

BOOST_AUTO_TEST_CASE(no_stream_begins_at_a_version_that_the_store_does_not_name_yet)
{
    platform_store store;
    instance one{store};
    std::atomic<int> changes{0};
    std::atomic<int> early{0};
    store.set_before_change([&] {
        ++changes;
        early += one.may_begin("v1") ? 1 : 0;
    });
    BOOST_TEST(one.list({"v1"}).empty());
    BOOST_TEST(eventually([&] { return one.may_begin("v1"); }));
    BOOST_TEST(registered(store) == "v1,");
    BOOST_TEST(changes == 1);
    BOOST_TEST(early == 0);
    BOOST_TEST(one.version_changes >= 1);
    BOOST_TEST(one.list({"v1", "v2"}) == std::vector<std::string>{"v1"}, boost::test_tools::per_element());
    BOOST_TEST(eventually([&] { return one.may_begin("v2"); }));
    BOOST_TEST(registered(store) == "v1,v2,");
}

BOOST_AUTO_TEST_CASE(a_single_version_costs_no_writes_and_is_found_without_memory)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    for (int i = 0; i < 5; ++i) {
        one.begin("r" + std::to_string(i), "v1");
    }
    std::this_thread::sleep_for(several_batches);
    BOOST_TEST(stored_streams(store) == 0U);
    BOOST_TEST(store.lease_count() == 0U);
    instance without_list{store};
    BOOST_TEST(without_list.found("r0") == "v1");
    instance with_list{store};
    with_list.list({"v1"});
    BOOST_TEST(with_list.found("r0") == "v1");
    BOOST_TEST(registered(store) == "v1,");
}

BOOST_AUTO_TEST_CASE(streams_that_began_before_the_second_version_came_are_not_lost)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("early1", "v1");
    one.begin("early2", "v1");
    std::this_thread::sleep_for(several_batches); // they are looked at before the second version comes
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("late", "v2");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 3; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("early1") == "v1");
    BOOST_TEST(restarted.found("early2") == "v1");
    BOOST_TEST(restarted.found("late") == "v2");
    restarted.list({"v2"}); // of v1 none is left
    BOOST_TEST(restarted.found("early1") == "v1");
}

// An instance that stands still when the second version comes cannot write its streams, and nobody takes them
// up.
BOOST_AUTO_TEST_CASE(a_stream_from_before_the_second_version_goes_on_though_its_instance_never_recorded_it)
{
    platform_store store;
    instance other{store};
    BOOST_REQUIRE(other.serve({"v1"}));
    {
        instance gone{store};
        BOOST_REQUIRE(gone.serve({"v1"}));
        gone.begin("r1", "v1");
    }
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    BOOST_TEST(other.found("r1") == "v1");
}

BOOST_AUTO_TEST_CASE(more_streams_than_one_call_may_write_are_all_stored)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    constexpr std::size_t streams = 300;
    for (std::size_t i = 0; i < streams; ++i) {
        one.begin("r" + std::to_string(i), i % 2 == 0 ? "v1" : "v2");
    }
    BOOST_TEST(eventually([&] { return stored_streams(store) == streams; }));
    BOOST_TEST(eventually([&] { return one.counts().stored == streams; }));
    BOOST_TEST(store.lease_count() == 1U);
    instance restarted{store};
    BOOST_TEST(restarted.found("r0") == "v1");
    BOOST_TEST(restarted.found("r299") == "v2");
}

BOOST_AUTO_TEST_CASE(an_id_that_names_nothing_is_not_guessed_while_versions_are_mixed)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    instance restarted{store};
    for (auto* each : {&one, &restarted}) {
        for (const auto& id : {std::string{"nothing"},
                               std::string{},
                               std::string{"r1 "},
                               std::string{"\0\xff\r\n", 4},
                               std::string(10000, 'x')}) {
            BOOST_TEST(each->found(id) == "(unknown)");
        }
    }
    // A value that names no version is no answer either.
    store.put(store.keys("streams/").front(), "");
    BOOST_TEST(restarted.find("r1").state != origin_state::known);
}

BOOST_AUTO_TEST_CASE(a_version_that_another_instance_has_just_registered_is_seen_by_a_take_up)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    BOOST_TEST(one.found("r1") == "v1");
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    BOOST_TEST(one.found("not written yet") == "(unknown)");
    other.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    BOOST_TEST(one.found("r2") == "v2");
    one.begin("r3", "v1"); // from now on this instance writes too
    BOOST_TEST(eventually([&] { return stored_streams(store) == 2; }));
}

BOOST_AUTO_TEST_CASE(a_take_up_just_before_the_batch_is_written_finds_its_stream)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    // The first call for the stream is answered before the stream is written.
    std::atomic<bool> waiting{false};
    std::atomic<bool> released{false};
    store.set_before_change([&] {
        waiting = true;
        eventually([&] { return released.load(); });
    });
    one.begin("r1", "v2");
    BOOST_REQUIRE(eventually([&] { return waiting.load(); }));
    const auto calls = other.counts().calls;
    auto reading = other.start_find("r1");
    BOOST_REQUIRE(eventually([&] { return other.counts().calls > calls; }));
    BOOST_TEST(stored_streams(store) == 0U);
    std::this_thread::sleep_for(20ms); // the first reading returns nothing
    released = true;
    BOOST_TEST(reading.get().version == "v2");
}

BOOST_AUTO_TEST_CASE(a_store_that_fails_is_not_waited_for_and_nothing_is_guessed)
{
    platform_store store;
    instance single{store};
    BOOST_REQUIRE(single.serve({"v1"}));
    for (const auto kind : {platform_store::fault::unresponsive,
                            platform_store::fault::unavailable,
                            platform_store::fault::disconnect}) {
        instance mixed{store};
        BOOST_REQUIRE(mixed.serve({"v1", "v2"}));
        instance empty{store};
        store.set_fault(kind);
        for (auto* each : {&single, &mixed, &empty}) {
            const auto begun = std::chrono::steady_clock::now();
            BOOST_TEST(each->found("r1") == "(unavailable)");
            BOOST_TEST((std::chrono::steady_clock::now() - begun < 2s));
        }
        store.set_fault(platform_store::fault::none);
        // What the store lacks right after an outage may be about to be written again.
        std::string found;
        BOOST_TEST(eventually([&] { return (found = mixed.found("r1")) != "(unavailable)"; }));
        BOOST_TEST(found == "(unknown)");
    }
}

BOOST_AUTO_TEST_CASE(a_new_version_is_used_and_registered_later_if_the_store_fails)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    for (const auto kind : {platform_store::fault::unavailable, platform_store::fault::unresponsive}) {
        const std::string version = kind == platform_store::fault::unavailable ? "v2" : "v3";
        store.set_fault(kind);
        const auto begun = std::chrono::steady_clock::now();
        BOOST_TEST(one.list({"v1", version}).size() == 1U);
        BOOST_TEST(eventually([&] { return one.may_begin(version); }));
        BOOST_TEST((std::chrono::steady_clock::now() - begun >= 500ms));
        BOOST_TEST(one.uses_unregistered());
        BOOST_TEST(one.found("r1") == "(unavailable)");
        one.begin("at " + version, version);
        store.set_fault(platform_store::fault::none);
        BOOST_TEST(eventually([&] { return !one.uses_unregistered(); }));
        BOOST_TEST((registered(store).find(version) != std::string::npos));
    }
    BOOST_TEST(registered(store) == "v1,v2,v3,");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 2; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("at v2") == "v2");
    BOOST_TEST(restarted.found("at v3") == "v3");
}

BOOST_AUTO_TEST_CASE(origins_that_could_not_be_written_are_written_later)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    for (const auto kind : {platform_store::fault::unresponsive,
                            platform_store::fault::unavailable,
                            platform_store::fault::disconnect}) {
        const auto failed = one.counts().failed_calls;
        const auto before = stored_streams(store);
        store.set_fault(kind);
        one.begin("r" + std::to_string(static_cast<int>(kind)), "v2");
        BOOST_REQUIRE(eventually([&] { return one.counts().failed_calls > failed; }));
        store.set_fault(platform_store::fault::none);
        BOOST_TEST(eventually([&] { return stored_streams(store) == before + 1; }));
    }
}

// A late write of the version before replaced the newer one, and another instance continued the stream there.
BOOST_AUTO_TEST_CASE(a_write_that_is_done_late_does_not_replace_the_version_that_a_request_moved_to)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    store.set_changes_lost(true);
    one.begin("moved", "v1");
    one.begin("stayed", "v1");
    BOOST_REQUIRE(eventually([&] { return store.lost_change_count() == 1; }));
    one.begin("moved", "v2");
    store.set_changes_lost(false);
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 2; }));
    store.carry_out_lost_changes();
    instance restarted{store};
    BOOST_TEST(restarted.found("moved") == "v2");
    BOOST_TEST(restarted.found("stayed") == "v1");
}

BOOST_AUTO_TEST_CASE(a_write_that_was_done_without_an_answer_is_not_repeated_for_ever)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    store.set_changes_lost(true);
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return store.lost_change_count() == 1; }));
    store.carry_out_lost_changes(); // its condition holds now, and not again later
    store.set_changes_lost(false);
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 1; }));
    BOOST_TEST(one.counts().conflicts == 1U);
    one.begin("r1", "v2");
    BOOST_TEST(eventually([&] { return one.counts().stored == 2; }));
    BOOST_TEST(one.counts().conflicts == 1U); // the condition was learned from the conflict
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v2");
}

// A call is all or nothing: the other streams of a batch must not wait for the one whose condition fails.
BOOST_AUTO_TEST_CASE(a_condition_that_fails_keeps_no_other_stream_of_its_batch_from_being_stored)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    other.begin("r3", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    one.begin("r3", "v1"); // taken up here, so that it is to be written again
    for (int i = 4; i < 12; ++i) {
        one.begin("r" + std::to_string(i), "v2");
    }
    BOOST_TEST(eventually([&] { return stored_streams(store) == 9; }));
    BOOST_TEST(eventually([&] { return one.counts().stored == 9; }));
    BOOST_TEST(one.counts().conflicts == 1U);
    instance restarted{store};
    BOOST_TEST(restarted.found("r3") == "v1");
    BOOST_TEST(restarted.found("r11") == "v2");
}

// The lease that a late write names has ended, or its keys were lost: the newer record must not be undone.
BOOST_AUTO_TEST_CASE(a_late_write_after_the_end_of_its_lease_does_not_bring_an_earlier_version_back)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    store.set_changes_lost(true);
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return store.lost_change_count() == 1; }));
    store.set_changes_lost(false);
    one.begin("r1", "v2");
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 1; }));
    store.expire_leases();
    store.carry_out_lost_changes();
    BOOST_TEST(eventually([&] { return stored_streams(store) == 1; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v2");
}

BOOST_AUTO_TEST_CASE(two_instances_that_register_at_once_keep_both_versions)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    std::atomic<int> changes{0};
    store.set_before_change([&] {
        if (++changes == 1) {
            other.serve({"v1", "v3"}); // after the first one has read, and before it writes
        }
    });
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_TEST(changes >= 3);
    BOOST_TEST(registered(store) == "v1,v2,v3,");
}

BOOST_AUTO_TEST_CASE(a_version_listed_while_another_is_being_registered_is_not_forgotten)
{
    platform_store store;
    instance one{store};
    std::atomic<int> changes{0};
    store.set_before_change([&] {
        if (++changes == 1) {
            one.list({"v1", "v2"});
        }
    });
    one.list({"v1"});
    BOOST_TEST(eventually([&] { return one.may_begin("v2"); }));
    BOOST_TEST(registered(store) == "v1,v2,");
}

BOOST_AUTO_TEST_CASE(versions_that_cannot_be_read_are_replaced)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    for (const auto* value : {"garbage", "{}", "[]", "{\"versions\":7}", "{\"versions\":[7]}", ""}) {
        store.put(store.keys("versions/").front(), value);
        instance restarted{store};
        BOOST_TEST(restarted.find("r1").state != origin_state::known);
        BOOST_TEST(restarted.serve({"v1"}));
        BOOST_TEST(registered(store) == "v1,");
    }
}

BOOST_AUTO_TEST_CASE(the_next_batch_after_the_end_of_a_lease_takes_a_new_one)
{
    platform_store store;
    instance one{store, {}, {.lease_check_interval = 1h}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    BOOST_TEST(store.lease_count() == 1U);
    store.expire_leases();
    BOOST_TEST(stored_streams(store) == 0U);
    BOOST_TEST(registered(store) == "v1,v2,"); // under no lease
    one.begin("r2", "v2");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 2; }));
    BOOST_TEST(store.lease_count() == 2U);
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v1");
    BOOST_TEST(restarted.found("r2") == "v2");
}

// Streams were refused at every other instance once their keys had gone with the lease.
BOOST_AUTO_TEST_CASE(streams_whose_lease_ran_out_in_an_outage_are_written_again_without_another_write)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    constexpr std::size_t streams = 40;
    for (std::size_t i = 0; i < streams; ++i) {
        one.begin("r" + std::to_string(i), i % 2 == 0 ? "v1" : "v2");
    }
    for (int outage = 1; outage <= 3; ++outage) {
        BOOST_TEST_CONTEXT("outage " << outage)
        {
            BOOST_REQUIRE(eventually([&] { return stored_streams(store) == streams; }));
            store.set_fault(platform_store::fault::unavailable);
            store.expire_leases();
            BOOST_REQUIRE(stored_streams(store) == 0U);
            store.set_fault(platform_store::fault::none);
        }
    }
    BOOST_TEST(eventually([&] { return stored_streams(store) == streams; }));
    instance other{store};
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    BOOST_TEST(other.found("r0") == "v1");
    BOOST_TEST(other.found("r39") == "v2");
}

BOOST_AUTO_TEST_CASE(a_lease_that_ran_out_beside_one_that_holds_is_noticed)
{
    platform_store store;
    instance one{store, {}, {.lease_use = core::duration::zero(), .lease_check_interval = 50ms}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    const auto first = store.keys("streams/").front();
    one.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 2; }));
    BOOST_TEST(store.lease_count() == 2U);
    store.expire_lease_of(first);
    BOOST_TEST(eventually([&] { return store.value(first).has_value(); }));
    BOOST_TEST(eventually([&] { return stored_streams(store) == 2; }));
}

BOOST_AUTO_TEST_CASE(a_stream_that_outlasts_its_lease_stays_known)
{
    platform_store store;
    store.set_max_lease(1500ms);
    instance one{store, {}, {.lease_check_interval = 200ms}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    std::this_thread::sleep_for(4s);
    BOOST_TEST(stored_streams(store) == 1U);
    BOOST_TEST(store.lease_count() == 1U);
}

BOOST_AUTO_TEST_CASE(no_lease_is_renewed_once_its_streams_have_ended)
{
    platform_store store;
    instance one{store, {}, {.lease_check_interval = 20ms}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1", team, 500ms);
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    std::this_thread::sleep_for(700ms);
    const auto calls = one.counts().calls;
    std::this_thread::sleep_for(several_batches);
    BOOST_TEST(one.counts().calls == calls);
}

// "Not known" tells the caller not to come back, though the stream's instance is about to write it again.
BOOST_AUTO_TEST_CASE(a_take_up_right_after_an_outage_is_asked_to_come_back)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    store.set_fault(platform_store::fault::unavailable);
    BOOST_TEST(other.found("r1") == "(unavailable)");
    store.expire_leases();
    store.set_fault(platform_store::fault::none);
    std::string found;
    BOOST_TEST(eventually([&] { return (found = other.found("r1")) != "(unavailable)"; }));
    BOOST_TEST(found == "v1");
}

BOOST_AUTO_TEST_CASE(no_take_up_is_answered_from_the_versions_of_a_restored_copy)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    BOOST_REQUIRE(other.serve({"v1"}));
    const auto earlier = store.snapshot();
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    other.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    store.restore(earlier);
    BOOST_TEST(registered(store) == "v1,");
    BOOST_TEST(one.found("r2") == "(unavailable)"); // and not v1
    BOOST_TEST(other.found("r2") == "(unavailable)");
    BOOST_TEST(eventually([&] { return registered(store) == "v1,v2," && stored_streams(store) == 1; }));
    std::string found;
    BOOST_TEST(eventually([&] { return (found = one.found("r2")) != "(unavailable)"; }));
    BOOST_TEST(found == "v2");
}

BOOST_AUTO_TEST_CASE(an_idle_instance_registers_its_versions_again_after_a_restoration)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto earlier = store.snapshot();
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 1; }));
    store.restore(earlier);
    one.learn_era(store.current_era()); // as the catalog's calls show it
    BOOST_TEST(eventually([&] { return registered(store) == "v1,v2," && stored_streams(store) == 1; }));
    BOOST_TEST(one.found("r2") == "(unavailable)");
    one.learn_era(1); // an answer from before
    BOOST_TEST(eventually([&] { return one.found("r2") == "v2"; }));
}

BOOST_AUTO_TEST_CASE(a_version_that_has_left_is_registered_again_after_a_restoration)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto earlier = store.snapshot();
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r2", "v2");
    one.list({"v1"});
    store.restore(earlier);
    one.learn_era(store.current_era());
    BOOST_TEST(eventually([&] { return registered(store) == "v1,v2," && stored_streams(store) == 1; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("r2") == "v2");
}

// The restored copy has the version from before the request moved, and nobody is left who knows of the move.
BOOST_AUTO_TEST_CASE(an_origin_of_a_restored_copy_is_not_taken_for_the_last_one)
{
    platform_store store;
    platform_store::copy earlier;
    {
        instance gone{store};
        BOOST_REQUIRE(gone.serve({"v1", "v2"}));
        gone.begin("r1", "v1");
        BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
        earlier = store.snapshot();
        gone.begin("r1", "v2");
        BOOST_REQUIRE(eventually([&] { return gone.counts().stored == 2; }));
    }
    store.restore(earlier);
    instance started{store};
    BOOST_TEST(started.find("r1").state != origin_state::known);
    BOOST_REQUIRE(started.serve({"v1", "v2"}));
    BOOST_TEST(started.find("r1").state != origin_state::known);
    // Its own streams replace what the copy has of them.
    started.begin("r1", "v2");
    BOOST_REQUIRE(eventually([&] { return started.counts().stored == 1; }));
    instance other{store};
    BOOST_TEST(other.found("r1") == "v2");
}

// An instance without the store began streams whose versions nobody could learn once it had ended.
BOOST_AUTO_TEST_CASE(a_stream_that_begins_without_the_store_is_stored_by_a_peer)
{
    platform_store store;
    instance helper{store};
    BOOST_REQUIRE(helper.serve({"v1", "v2"}));
    {
        instance cut{core::address{.host = "127.0.0.1", .port = 1}};
        cut.hand_over_to(helper);
        BOOST_REQUIRE(cut.serve({"v1", "v2"}));
        cut.begin("r1", "v1");
        cut.begin("r2", "v2");
        BOOST_TEST(eventually([&] { return cut.is_stored("r1") && cut.is_stored("r2"); }));
        BOOST_TEST(cut.counts().stored_by_peers == 2U);
        // A request that moves is handed over again.
        cut.begin("r1", "v2");
        BOOST_TEST(!cut.is_stored("r1"));
        BOOST_TEST(eventually([&] { return cut.is_stored("r1"); }));
    }
    BOOST_TEST(stored_streams(store) == 2U);
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v2");
    BOOST_TEST(restarted.found("r2") == "v2");
    // The helper does not relay these streams, so that it asks the store too.
    BOOST_TEST(helper.found("r1") == "v2");
}

// What a peer has stored for an instance lasts as long as its streams, like what it writes itself.
BOOST_AUTO_TEST_CASE(streams_stored_for_a_peer_are_written_again_after_a_loss)
{
    platform_store store;
    instance helper{store};
    BOOST_REQUIRE(helper.serve({"v1", "v2"}));
    instance cut{core::address{.host = "127.0.0.1", .port = 1}};
    cut.hand_over_to(helper);
    BOOST_REQUIRE(cut.serve({"v1", "v2"}));
    const auto earlier = store.snapshot();
    cut.begin("r1", "v2");
    BOOST_REQUIRE(eventually([&] { return cut.is_stored("r1"); }));
    store.restore(earlier);
    helper.learn_era(store.current_era());
    BOOST_TEST(eventually([&] { return stored_streams(store) == 1; }));
    store.expire_leases();
    BOOST_TEST(eventually([&] { return stored_streams(store) == 1; }));
}

BOOST_AUTO_TEST_CASE(an_instance_that_cannot_write_stores_nothing_for_its_peers)
{
    instance helper{core::address{.host = "127.0.0.1", .port = 1}};
    BOOST_REQUIRE(helper.serve({"v1", "v2"}));
    helper.begin("own", "v1");
    BOOST_REQUIRE(eventually([&] { return helper.counts().failed_calls > 2; }));
    instance cut{core::address{.host = "127.0.0.1", .port = 1}};
    cut.hand_over_to(helper);
    BOOST_REQUIRE(cut.serve({"v1", "v2"}));
    cut.begin("r1", "v2");
    BOOST_TEST(eventually([&] { return cut.counts().handed_over >= 2; })); // again and again
    BOOST_TEST(!cut.is_stored("r1"));
    BOOST_TEST(helper.found("r1") == "(unavailable)");
}

// The copy lacks a version at which streams began. An instance that starts then has seen no restoration.
BOOST_AUTO_TEST_CASE(an_instance_that_starts_after_a_restoration_does_not_take_the_versions_for_complete)
{
    platform_store store;
    platform_store::copy earlier;
    {
        instance gone{store};
        BOOST_REQUIRE(gone.serve({"v1"}));
        earlier = store.snapshot();
        BOOST_REQUIRE(gone.serve({"v1", "v2"}));
        gone.begin("r2", "v2");
        BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    }
    store.restore(earlier);
    instance started{store};
    BOOST_TEST(started.found("r2") == "(unavailable)"); // and not v1
    BOOST_TEST(started.serve({"v1"}));                  // new streams do not wait
    started.begin("r3", "v1");
    instance other{store};
    std::string found;
    BOOST_TEST(eventually([&] { return (found = started.found("r2")) != "(unavailable)"; }));
    BOOST_TEST(found == "(unknown)");
    BOOST_TEST(other.found("r2") == "(unknown)");
    // Streams that begin now are recorded.
    BOOST_TEST(eventually([&] { return other.found("r3") == "v1"; }));
}

BOOST_AUTO_TEST_CASE(a_set_that_nobody_remembered_counts_as_complete_once_all_earlier_streams_have_ended)
{
    constexpr auto retention = 4s;
    platform_store store;
    platform_store::copy earlier;
    {
        instance gone{store};
        BOOST_REQUIRE(gone.serve({"v1"}));
        earlier = store.snapshot();
    }
    store.restore(earlier);
    store.restore(earlier); // twice
    instance started{store, {}, {.version_retention = retention}};
    BOOST_REQUIRE(started.serve({"v1"}));
    BOOST_TEST(started.found("r1") == "(unavailable)");
    BOOST_TEST(eventually([&] { return started.found("r1") == "(unknown)"; }));
    BOOST_TEST(registered(store) == "unknown before era 3,v1,");
    BOOST_TEST(eventually([&] { return registered(store) == "v1,"; }));
    BOOST_TEST(eventually([&] { return started.found("r1") == "v1"; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v1");
}

// Instances that were there add what the copy lacks: nothing is unknown then.
BOOST_AUTO_TEST_CASE(an_instance_that_remembers_the_versions_confirms_them_after_a_restoration)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto earlier = store.snapshot();
    store.restore(earlier);
    one.learn_era(store.current_era());
    instance started{store};
    BOOST_REQUIRE(started.serve({"v1"}));
    BOOST_TEST(started.found("r1") == "(unavailable)");
    std::string found;
    BOOST_TEST(eventually([&] { return (found = started.found("r1")) != "(unavailable)"; }));
    BOOST_TEST(found == "v1");
    BOOST_TEST(registered(store) == "v1,");
}

// "Not known" tells the caller not to come back, though the set that has just been confirmed names the
// version.
BOOST_AUTO_TEST_CASE(a_take_up_during_which_the_versions_are_confirmed_is_asked_to_come_back)
{
    platform_store store;
    {
        instance one{store};
        BOOST_REQUIRE(one.serve({"v1"}));
    }
    store.restore(store.snapshot());
    const auto set = store.keys("versions/").front();
    instance started{store};
    BOOST_REQUIRE(started.serve({"v1"}));
    std::atomic<bool> confirmed{false};
    std::atomic<int> readings{0};
    std::atomic<int> readings_confirmed{0};
    store.set_before_read([&](const std::string& key) {
        if (key != set) {
            store.put(set, R"({"service":"s1","versions":["v1"],"era":2})");
            confirmed = true;
            eventually([&] { return readings_confirmed > 0; }, 300ms);
            std::this_thread::sleep_for(50ms);
        } else if (++readings > 1) { // by the registration that the take-up has requested
            eventually([&] { return confirmed.load(); }, 300ms);
            ++readings_confirmed;
        }
    });
    BOOST_TEST(started.found("r1") == "(unavailable)");
    BOOST_TEST(readings_confirmed > 0);
    store.set_before_read({});
    BOOST_TEST(eventually([&] { return started.found("r1") == "v1"; }));
}

BOOST_AUTO_TEST_CASE(a_store_that_states_no_era_is_taken_to_be_complete)
{
    platform_store store;
    store.set_era_header(std::nullopt);
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("r1", "v1");
    instance started{store};
    BOOST_TEST(started.found("r1") == "v1");
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_TEST(eventually([&] { return stored_streams(store) == 1; }));
    BOOST_TEST(started.found("r1") == "v1");
}

BOOST_AUTO_TEST_CASE(a_set_of_an_earlier_release_is_confirmed_before_it_counts_as_complete)
{
    platform_store store;
    {
        instance one{store};
        BOOST_REQUIRE(one.serve({"v1"}));
    }
    store.put(store.keys("versions/").front(), R"({"service":"s1","versions":["v1"]})");
    instance started{store};
    BOOST_TEST(started.found("r1") == "(unavailable)");
    BOOST_REQUIRE(started.serve({"v1"}));
    BOOST_TEST(eventually([&] { return started.found("r1") == "(unknown)"; }));
    BOOST_TEST(registered(store) == "unknown before era 1,v1,");
}

BOOST_AUTO_TEST_CASE(lookups_do_not_use_up_the_reads_of_the_store)
{
    platform_store store;
    instance one{store, {.writes = 100, .reads = 2}};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto calls = one.counts().calls;
    std::vector<std::future<origin_reading>> readings;
    for (int i = 0; i < 50; ++i) {
        readings.push_back(one.start_find("r1"));
    }
    std::uint64_t known = 0;
    for (auto& each : readings) {
        known += each.get().state == origin_state::known ? 1U : 0U;
    }
    BOOST_TEST(known >= 3U); // a burst of three seconds
    BOOST_TEST(known < 50U);
    BOOST_TEST(one.counts().limited == 50 - known);
    BOOST_TEST(one.counts().calls - calls == known);
    BOOST_TEST(eventually([&] { return one.found("r1") == "v1"; })); // a second later
}

BOOST_AUTO_TEST_CASE(a_team_learns_nothing_of_another_teams_stream_with_the_same_id)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("same", "v1", 1);
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("same", 2) == "(unknown)");
    one.begin("same", "v2", 2);
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 2; }));
    BOOST_TEST(restarted.found("same", 1) == "v1");
    BOOST_TEST(restarted.found("same", 2) == "v2");
    for (const auto& key : store.keys("streams/")) {
        BOOST_TEST((key.find("same") == std::string::npos));
    }
}

BOOST_AUTO_TEST_CASE(of_three_versions_one_that_left_is_kept_for_its_streams_and_may_return)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r2", "v2");
    BOOST_REQUIRE(one.serve({"v2", "v3"}));
    one.begin("r3", "v3");
    BOOST_TEST(registered(store) == "v1,v2,v3,");
    one.list({"v3"}); // a single version is listed, and three are still possible
    one.begin("r4", "v3");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 4; }));
    instance restarted{store};
    BOOST_REQUIRE(restarted.serve({"v3"}));
    BOOST_TEST(restarted.found("r1") == "v1");
    BOOST_TEST(restarted.found("r2") == "v2");
    BOOST_TEST(restarted.found("r3") == "v3");
    BOOST_TEST(restarted.found("nothing") == "(unknown)");
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("r5", "v1");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 5; }));
    BOOST_TEST(restarted.found("r5") == "v1");
}

BOOST_AUTO_TEST_CASE(a_version_that_left_long_ago_is_removed_and_registered_anew_when_it_returns)
{
    platform_store store;
    instance one{store, {}, {.version_retention = 300ms}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    const auto left = std::chrono::steady_clock::now();
    one.list({"v2"});
    BOOST_TEST(eventually([&] { return registered(store) == "v2,"; }));
    BOOST_TEST((std::chrono::steady_clock::now() - left >= 300ms));
    BOOST_TEST(eventually([&] { return !one.may_begin("v1"); }));
    BOOST_TEST(one.found("r1") == "v2");
    std::atomic<int> early{0};
    store.set_before_change([&] { early += one.may_begin("v1") ? 1 : 0; });
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_TEST(early == 0);
    BOOST_TEST(registered(store) == "v1,v2,");
}

BOOST_AUTO_TEST_CASE(a_version_that_the_own_list_lacks_yet_is_not_removed_from_the_store)
{
    constexpr auto retention = 1500ms;
    platform_store store;
    instance one{store, {}, {.version_retention = retention}};
    BOOST_REQUIRE(one.serve({"v1"}));
    std::this_thread::sleep_for(retention + 300ms); // it may remove versions from now on
    instance other{store};
    const auto begun = std::chrono::steady_clock::now();
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    BOOST_TEST(one.found("r1") == "(unknown)"); // it has read both versions, and lists one
    BOOST_TEST(eventually([&] { return registered(store) == "v1,"; }));
    BOOST_TEST((std::chrono::steady_clock::now() - begun >= retention));
}

BOOST_AUTO_TEST_CASE(a_registration_does_not_remove_what_another_instance_registered_just_before)
{
    constexpr auto retention = 1500ms;
    platform_store store;
    instance one{store, {}, {.version_retention = retention}};
    BOOST_REQUIRE(one.serve({"v1"}));
    std::this_thread::sleep_for(retention + 300ms);
    instance other{store};
    const auto begun = std::chrono::steady_clock::now();
    BOOST_REQUIRE(other.serve({"v1", "v3"}));
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    const auto after = registered(store);
    BOOST_TEST((after == "v1,v2,v3," || std::chrono::steady_clock::now() - begun >= retention), after);
}

BOOST_AUTO_TEST_SUITE_END()
