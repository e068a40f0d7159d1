#include "hibiscusfall/traffic/event_scanner.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>

using namespace hibiscusfall;
using traffic::scan_fault;

namespace
{

std::string event(int id, const std::string& end = "\n")
{
    return "id: " + std::to_string(id) + end + "data: {\"text\":\"w" + std::to_string(id) + "\"}" + end + end;
}

int number(scan_fault fault)
{
    return static_cast<int>(fault);
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_scanner_test)

BOOST_AUTO_TEST_CASE(piece_borders_change_nothing)
{
    const bool held = rc::check("any cut gives the same events", [] {
        const std::string line_end = *rc::gen::element(std::string{"\n"}, std::string{"\r\n"});
        const int events = *rc::gen::inRange(0, 12);
        std::string whole;
        for (int id = 0; id < events; ++id) {
            whole += event(id, line_end);
        }
        whole += "data: [DONE]" + line_end + line_end;
        const std::string tail = *rc::gen::element(std::string{}, std::string{"data: {half"});
        const std::string sent = whole + tail;
        traffic::event_scanner scanner;
        std::string relayed;
        for (std::size_t at = 0; at < sent.size();) {
            const auto length = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
            RC_ASSERT(traffic::feed(scanner, std::string_view{sent}.substr(at, length)) == scan_fault::none);
            relayed += scanner.ready;
            at += length;
        }
        RC_ASSERT(relayed == whole);
        RC_ASSERT(scanner.partial == tail);
        RC_ASSERT(scanner.progress.tokens == static_cast<std::uint64_t>(events));
        RC_ASSERT(scanner.progress.ended);
        RC_ASSERT(scanner.progress.last_id.has_value() == (events > 0));
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_goes_on_after_the_last_whole_event)
{
    traffic::event_scanner scanner;
    BOOST_TEST(number(traffic::feed(scanner, event(7) + "id: 8\ndata: {\"te")) == number(scan_fault::none));
    BOOST_TEST(scanner.ready == event(7));
    auto resumed = traffic::continue_after(scanner.progress);
    BOOST_REQUIRE(resumed.has_value());
    BOOST_TEST(resumed->partial.empty());
    BOOST_TEST(number(traffic::feed(*resumed, event(8) + event(9))) == number(scan_fault::none));
    BOOST_TEST(resumed->ready == event(8) + event(9));
    BOOST_TEST(resumed->progress.tokens == 3U);
}

BOOST_AUTO_TEST_CASE(an_answer_that_starts_anew_is_not_mixed_in)
{
    traffic::event_scanner scanner;
    BOOST_TEST(number(traffic::feed(scanner, event(0) + event(1))) == number(scan_fault::none));
    auto resumed = traffic::continue_after(scanner.progress);
    BOOST_REQUIRE(resumed.has_value());
    BOOST_TEST(number(traffic::feed(*resumed, event(0))) == number(scan_fault::not_continued));
    BOOST_TEST(resumed->ready.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_without_numbers_cannot_be_resumed)
{
    traffic::event_scanner scanner;
    BOOST_TEST(number(traffic::feed(scanner, "data: {}\n\n")) == number(scan_fault::none));
    BOOST_TEST(!traffic::continue_after(scanner.progress));
}

BOOST_AUTO_TEST_CASE(an_endless_event_is_refused)
{
    traffic::event_scanner scanner{.event_bytes = 64};
    BOOST_TEST(number(traffic::feed(scanner, "data: " + std::string(100, 'x'))) ==
               number(scan_fault::event_too_large));
}

BOOST_AUTO_TEST_CASE(data_after_the_end_mark_is_refused)
{
    traffic::event_scanner scanner;
    BOOST_TEST(number(traffic::feed(scanner, "data: [DONE]\n\n" + event(1))) ==
               number(scan_fault::after_end));
}

BOOST_AUTO_TEST_CASE(text_that_is_no_event_is_malformed)
{
    const std::string http_head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\n";
    const std::string text[] = {
        http_head,
        "HTTP/1.1 503 Service Unavailable\r\n\r\n",
        "Internal Server Error\n\n",
        "Error\n\n",
        "error: out of memory\n\n",
        "Content-Type: application/json\r\nContent-Length: 14\r\n\r\n",
        ": comment\nserver: x\n\n",
        "{\"error\":\"no\"}\n\n",
        "<html>\n\n",
        "id: 3\ndata: {\"te" + http_head,
        "id: 3\r\ndata: {\"te" + http_head,
        "id: 3\ndata: {\"teHTTP/1.1 503 Service Unavailable\r\n\r\n",
        "id: 3\n" + event(3),
        "id: 3\ndata: {\"te\nxt\"}\n\n",
    };
    for (const auto& each : text) {
        BOOST_TEST_CONTEXT(each)
        {
            traffic::event_scanner scanner;
            BOOST_TEST(number(traffic::feed(scanner, event(1) + event(2) + each)) ==
                       number(scan_fault::malformed));
            BOOST_TEST(scanner.ready == event(1) + event(2));
            BOOST_TEST(scanner.progress.last_id.value_or("") == "2");
            BOOST_TEST(scanner.progress.tokens == 2U);
        }
    }
}

BOOST_AUTO_TEST_CASE(header_lines_comments_and_all_fields_of_events_are_accepted)
{
    const std::string text[] = {
        event(1),
        event(1, "\r\n"),
        "x-weight-versions: 3\n" + event(1),
        "x-weight-versions: 3\r\n" + event(1, "\r\n"),
        "event: token\nid: 1\ndata: first\ndata: second\ndata\nretry: 100\n\n",
        "id:1\ndata:x\n\n",
        "data: x\nid: 1\n\n",
        ": comment\n\n",
        ":\n\n",
        "retry: 3000\n\n",
        "\n\n",
    };
    for (const auto& each : text) {
        BOOST_TEST_CONTEXT(each)
        {
            traffic::event_scanner scanner;
            const auto whole = event(0) + each + event(2);
            BOOST_TEST(number(traffic::feed(scanner, whole)) == number(scan_fault::none));
            BOOST_TEST(scanner.ready == whole);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_id_that_does_not_increase_is_refused)
{
    for (const auto& each : {event(3), event(2), event(0), std::string{"id: 3\n\n"}}) {
        BOOST_TEST_CONTEXT(each)
        {
            traffic::event_scanner scanner;
            BOOST_TEST(number(traffic::feed(scanner, event(1) + event(3) + each)) ==
                       number(scan_fault::id_not_increasing));
            BOOST_TEST(scanner.ready == event(1) + event(3));
        }
    }
}

BOOST_AUTO_TEST_CASE(data_without_a_number_inside_a_numbered_stream_is_refused)
{
    for (const std::string each : {"data: {}\n\n",
                                   "event: error\ndata: {}\n\n",
                                   "id: a\ndata: {}\n\n",
                                   "id\ndata: {}\n\n",
                                   "id: 99999999999999999999\ndata: {}\n\n"}) {
        BOOST_TEST_CONTEXT(each)
        {
            traffic::event_scanner scanner;
            BOOST_TEST(number(traffic::feed(scanner, event(1) + each)) ==
                       number(scan_fault::id_not_increasing));
            BOOST_TEST(scanner.ready == event(1));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_stream_whose_ids_are_no_numbers_is_not_checked_for_their_order)
{
    traffic::event_scanner scanner;
    const std::string text = "id: b\ndata: 1\n\ndata: 2\n\nid: a\ndata: 3\n\nid: a\ndata: 4\n\n";
    BOOST_TEST(number(traffic::feed(scanner, text)) == number(scan_fault::none));
    BOOST_TEST(scanner.ready == text);
}

BOOST_AUTO_TEST_CASE(ids_of_a_resumed_stream_increase_beyond_what_was_delivered)
{
    auto scanner = traffic::continue_after({.tokens = 4, .last_id = "7"});
    BOOST_REQUIRE(scanner.has_value());
    BOOST_TEST(number(traffic::feed(*scanner, ": comment\n\n" + event(8) + event(9) + event(8))) ==
               number(scan_fault::id_not_increasing));
    BOOST_TEST(scanner->ready == ": comment\n\n" + event(8) + event(9));
}

BOOST_AUTO_TEST_SUITE_END()
