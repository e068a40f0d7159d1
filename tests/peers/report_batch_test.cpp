#include "hibiscusfall/peers/report_batch.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(report_batch_test)

BOOST_AUTO_TEST_CASE(a_report_larger_than_a_batch_sends_no_empty_datagram)
{
    peers::report_batch batch;
    const std::string large(peers::max_batch_bytes + 1, 'x');
    BOOST_TEST(peers::add(batch, large, start).empty());
    BOOST_TEST(batch.reports.size() == large.size());
    BOOST_TEST(peers::add(batch, "next", start + 1ms) == large);
    BOOST_TEST(batch.reports == "next");
    BOOST_TEST((batch.started_at == start + 1ms));
}

BOOST_AUTO_TEST_CASE(every_report_goes_out_once_and_in_order)
{
    BOOST_TEST(rc::check("what goes out is what came in", [] {
        peers::report_batch batch;
        std::string sent;
        std::string all;
        const auto count = *rc::gen::inRange(0, 30);
        for (int i = 0; i < count; ++i) {
            const std::string report_bytes(*rc::gen::inRange<std::size_t>(1, 9000),
                                           static_cast<char>('a' + i % 26));
            all += report_bytes;
            sent += peers::add(batch, report_bytes, start);
        }
        RC_ASSERT(sent + batch.reports == all);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
