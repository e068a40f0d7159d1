// Streams whose engine stays away go on at another engine, if the service says that this is possible.
#include "test_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;

namespace
{

constexpr int tokens = 6;
constexpr int before_break = 2;

std::string events(int from, int to)
{
    std::string text;
    for (int id = from; id < to; ++id) {
        text += numbered_event(id);
    }
    return text;
}

/// Sends the first events of a stream, and answers no resume.
void break_off(endpoint_connection& connection)
{
    const auto request = connection.read_request();
    if (request && request->last_event_id.empty()) {
        connection.write(stream_head() + event_chunks(0, before_break));
    }
    connection.reset();
}

/// Goes on after the last event, up to the end.
void go_on(endpoint_connection& connection)
{
    if (const auto request = connection.read_request(); request && !request->last_event_id.empty()) {
        const int next = std::stoi(request->last_event_id) + 1;
        connection.write(stream_head() + event_chunks(next, tokens) + stream_end());
    }
}

/// A fleet whose first engine is asked first.
struct two_engines {
    scripted_endpoint first;
    scripted_endpoint second;
    test_fleet fleet;

    two_engines(scripted_endpoint::script at_first,
                scripted_endpoint::script at_second,
                bool resume_elsewhere = true,
                traffic::caller_server_options options = {})
        : first(std::move(at_first)), second(std::move(at_second)), fleet(std::move(options))
    {
        this->fleet.add_endpoint("e1", "draft", this->first.address(), 1);
        this->fleet.add_endpoint("e2", "draft", this->second.address(), 1);
        this->fleet.set_resume_elsewhere(resume_elsewhere);
    }
};

void check_cut(const caller_answer& answer)
{
    BOOST_TEST(!answer.complete);
    BOOST_TEST(answer.body.starts_with(events(0, before_break) + "event: error\ndata: "));
    BOOST_TEST(answer.body.find("\"verdict\":\"may-have-run\"") != std::string::npos);
    BOOST_TEST(answer.body.find("[DONE]") == std::string::npos);
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_move_test)

BOOST_AUTO_TEST_CASE(a_stream_goes_on_at_another_engine_after_its_slot_is_given_back)
{
    two_engines all(break_off, go_on);
    std::vector<std::size_t> released_before;
    std::vector<core::slot_request> wanted;
    const auto acquire = all.fleet.ports.acquire;
    all.fleet.ports.acquire = [&](const core::slot_request& request, const std::function<bool()>& abandoned) {
        released_before.push_back(all.fleet.usages().size());
        wanted.push_back(request);
        return acquire(request, abandoned);
    };
    all.fleet.start();
    const auto answer = all.fleet.call(completion(true));
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body == events(0, tokens) + "data: [DONE]\n\n");
    const auto sent = all.second.requests();
    BOOST_TEST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].last_event_id == std::to_string(before_break - 1));
    BOOST_TEST(sent[0].id == all.first.requests().front().id);
    BOOST_TEST(sent[0].body == all.first.requests().front().body);
    BOOST_TEST_REQUIRE(wanted.size() == 2U);
    BOOST_TEST((wanted[1].excluded == std::vector{core::endpoint_id{"e1"}}));
    BOOST_TEST(released_before[1] == 1U);
    BOOST_TEST(all.fleet.slots_came_back());
    const auto usages = all.fleet.usages();
    BOOST_TEST(usages[0].endpoint_failed);
    BOOST_TEST(usages[0].cost == 0);
    BOOST_TEST(usages[1].answered);
    BOOST_TEST(usages[1].cost == 1 + tokens * 0.5);
    BOOST_TEST(all.fleet.callers().counters().moves.load() == 1U);
    BOOST_TEST(test_fleet::eventually([&] { return all.first.cancels().size() == 1; }));
}

BOOST_AUTO_TEST_CASE(a_service_that_does_not_say_so_is_not_moved)
{
    two_engines all(break_off, go_on, false);
    all.fleet.start();
    check_cut(all.fleet.call(completion(true)));
    BOOST_TEST(all.second.requests().empty());
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(an_engine_that_starts_anew_is_not_mixed_in)
{
    two_engines all(break_off, [](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(stream_head() + event_chunks(0, tokens) + stream_end());
        }
    });
    all.fleet.start();
    check_cut(all.fleet.call(completion(true)));
    BOOST_TEST(!all.second.requests().empty());
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(an_engine_that_does_not_know_the_stream_is_left_for_a_third_one)
{
    two_engines all(break_off, [](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
    });
    scripted_endpoint third{go_on};
    all.fleet.add_endpoint("e3", "draft", third.address(), 1);
    all.fleet.start();
    const auto answer = all.fleet.call(completion(true));
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body == events(0, tokens) + "data: [DONE]\n\n");
    BOOST_TEST(all.second.requests().size() == 1U);
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(every_engine_is_left_at_most_once)
{
    two_engines all(break_off, [](endpoint_connection& connection) {
        connection.read_request();
        connection.reset();
    });
    all.fleet.start();
    check_cut(all.fleet.call(completion(true)));
    BOOST_TEST(all.fleet.granted() == 2U);
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_move_is_taken_out_of_the_retry_budget)
{
    traffic::caller_server_options options;
    options.retry_fraction = 0;
    options.extra_reserve = 1;
    two_engines all(break_off, go_on, true, options);
    all.fleet.start();
    BOOST_TEST(all.fleet.call(completion(true)).complete);
    check_cut(all.fleet.call(completion(true)));
    BOOST_TEST(all.second.requests().size() == 1U);
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_while_its_stream_waits_ends_the_wait)
{
    two_engines all(break_off, go_on);
    scripted_endpoint none{go_on};
    test_fleet fleet;
    fleet.add_endpoint("e1", "draft", all.first.address(), 1);
    fleet.add_endpoint("e2", "draft", none.address(), 0);
    fleet.set_resume_elsewhere(true);
    fleet.start();
    caller_connection caller(fleet.address());
    caller.write(completion(true));
    caller.read_until("w1");
    const auto& counters = fleet.callers().counters();
    BOOST_TEST(test_fleet::eventually([&] { return counters.waiting.load() == 1; }));
    caller.close();
    BOOST_TEST(test_fleet::eventually([&] { return counters.in_flight.load() == 0; }));
    BOOST_TEST(none.requests().empty());
    BOOST_TEST(fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_moved_stream_reports_the_first_token_of_its_new_engine)
{
    static constexpr auto delay = 60ms;
    two_engines all(break_off,
                    [](endpoint_connection& connection) {
                        std::this_thread::sleep_for(delay);
                        go_on(connection);
                    },
                    true,
                    {.progress_interval = 0ms});
    std::mutex mutex;
    std::map<std::uint64_t, std::vector<core::duration>> first_tokens;
    all.fleet.ports.progress = [&](std::uint64_t ticket, const core::run_progress& progress) {
        const std::lock_guard lock(mutex);
        first_tokens[ticket].push_back(progress.first_token);
    };
    all.fleet.start();
    BOOST_TEST(all.fleet.call(completion(true)).complete);
    BOOST_TEST_REQUIRE(first_tokens.size() == 2U);
    for (const auto& reported : first_tokens.rbegin()->second) {
        BOOST_TEST((reported >= delay));
    }
}

BOOST_AUTO_TEST_SUITE_END()
