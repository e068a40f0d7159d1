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

BOOST_AUTO_TEST_SUITE_END()
