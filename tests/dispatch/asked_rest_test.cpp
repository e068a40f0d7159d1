#include "hibiscusfall/dispatch/placement.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};
const core::service_id service{"desk"};

dispatch::fleet_book book_of(std::size_t endpoints)
{
    dispatch::fleet_book book;
    book.own_domain = core::failure_domain_id{"north"};
    catalog::route_table table;
    table.services[service] = {.id = service};
    catalog::endpoint_list list;
    for (std::size_t i = 0; i < endpoints; ++i) {
        const auto name = "e" + std::to_string(i);
        list.entries[name] = {.id = core::endpoint_id{name},
                              .service = service,
                              .address = {.host = "10.0.0.1", .port = 80},
                              .domain = book.own_domain,
                              .slots = 4};
    }
    dispatch::update_endpoints(book, list, table, 1);
    return book;
}

dispatch::placement_decision place_call(const dispatch::fleet_book& book, core::instant now)
{
    return dispatch::place(
        book,
        {.service = service, .arrived = now, .deadline = now + 5s, .aim = 300ms, .draw = 3},
        dispatch::policy::engine_model,
        now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(asked_rest_test)

BOOST_AUTO_TEST_CASE(an_endpoint_that_asked_for_a_rest_gets_nothing_until_it_is_over)
{
    auto book = book_of(1);
    dispatch::note_asked_rest(book.endpoints[0].health, 2s, start);
    BOOST_TEST(!place_call(book, start + 1999ms).placed);
    BOOST_TEST(place_call(book, start + 2s).placed);
}

BOOST_AUTO_TEST_CASE(callers_are_told_when_the_first_endpoint_takes_requests_again)
{
    auto book = book_of(2);
    dispatch::note_asked_rest(book.endpoints[0].health, 3s, start);
    dispatch::note_asked_rest(book.endpoints[1].health, 2s, start);
    const auto decision = place_call(book, start);
    BOOST_TEST(!decision.placed);
    BOOST_TEST((decision.reason == core::failure::no_endpoint));
    BOOST_TEST((decision.retry_after >= 2s && decision.retry_after <= 3s));
}

BOOST_AUTO_TEST_CASE(a_shorter_rest_does_not_end_a_longer_one_and_no_rest_is_endless)
{
    dispatch::endpoint_health health;
    dispatch::note_asked_rest(health, 5s, start);
    dispatch::note_asked_rest(health, 1s, start + 100ms);
    BOOST_TEST(dispatch::is_closed(health, start + 4s));
    dispatch::note_asked_rest(health, -1s, start + 5s);
    BOOST_TEST(!dispatch::is_closed(health, start + 5s));
    dispatch::note_asked_rest(health, 1000h, start);
    BOOST_TEST(!dispatch::is_closed(health, start + dispatch::longest_asked_rest));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_leaves_gets_nothing_whatever_a_later_list_says)
{
    auto book = book_of(1);
    const auto tag = book.endpoints[0].tag;
    BOOST_TEST(dispatch::note_departure(book.leaving, tag, start));
    BOOST_TEST(!dispatch::note_departure(book.leaving, tag, start + 1s));
    catalog::route_table table;
    table.services[service] = {.id = service};
    catalog::endpoint_list list;
    dispatch::update_endpoints(book, list, table, 1);
    list.entries["e0"] = {.id = core::endpoint_id{"e0"}, .service = service, .slots = 4};
    dispatch::update_endpoints(book, list, table, 1);
    BOOST_TEST(!place_call(book, start + 1s).placed);
    list.entries["e0"].start_time_ms = 77; // started again under its id
    dispatch::update_endpoints(book, list, table, 1);
    BOOST_TEST(place_call(book, start + 1s).placed);
}

BOOST_AUTO_TEST_CASE(however_answers_and_sends_interleave_nothing_is_sent_within_a_rest)
{
    BOOST_TEST(rc::check("no request is placed at an endpoint within a rest that it asked for", [] {
        auto book = book_of(3);
        std::map<dispatch::endpoint_tag, core::instant> closed;
        auto now = start;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += *rc::gen::inRange(0, 700) * 1ms;
            auto& state = book.endpoints[*rc::gen::inRange<std::size_t>(0, 3)];
            if (*rc::gen::inRange(0, 3) == 0) {
                const auto rest = *rc::gen::inRange(-1000, 4000) * 1ms;
                dispatch::note_asked_rest(state.health, rest, now);
                closed[state.tag] = std::max(closed[state.tag], now + rest);
            }
            dispatch::note(state.health,
                           *rc::gen::element(dispatch::endpoint_sign::refused, dispatch::endpoint_sign::good),
                           now);
            const auto decision = place_call(book, now);
            if (decision.placed) {
                RC_ASSERT(closed[decision.endpoint] <= now);
            }
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
