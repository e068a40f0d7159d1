#include "hibiscusfall/dispatch/origin_handover.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using dispatch::origin_handover;
using dispatch::stream_origins;

namespace
{

constexpr core::instant start{1h};
const core::service_id service{"s1"};

stream_origins mixed_origins()
{
    stream_origins origins;
    dispatch::record_registered(origins, service, {"v1", "v2"});
    return origins;
}

dispatch::stream_origin origin(dispatch::stream_tag stream, const std::string& version = "v1")
{
    return {.stream = stream, .service = service, .version = version, .expires = start + 15s};
}

std::vector<dispatch::stream_tag>
due(origin_handover& handover, stream_origins& origins, core::instant now, std::size_t most = 25)
{
    std::vector<dispatch::stream_tag> result;
    for (const auto& each : dispatch::take_due(handover, origins, most, now)) {
        result.push_back(each.stream);
    }
    return result;
}

using tag_list = std::vector<dispatch::stream_tag>;

} // namespace

BOOST_AUTO_TEST_SUITE(origin_handover_test)

BOOST_AUTO_TEST_CASE(nothing_is_handed_over_while_the_store_can_be_written_or_versions_are_not_mixed)
{
    auto origins = mixed_origins();
    origin_handover handover;
    dispatch::record_origin(origins, origin(1), start);
    BOOST_TEST(due(handover, origins, start).empty());
    handover.needed = true;
    BOOST_TEST(due(handover, origins, start).size() == 1U);
    dispatch::record_registered(origins, service, {"v1"});
    BOOST_TEST(due(handover, origins, start + 10s).empty());
}

BOOST_AUTO_TEST_CASE(an_origin_is_handed_over_at_growing_intervals_until_a_peer_has_stored_it)
{
    auto origins = mixed_origins();
    origin_handover handover{.needed = true};
    dispatch::record_origin(origins, origin(1), start);
    std::vector<long> times;
    for (auto now = start; now < start + 14s; now += 100ms) {
        if (!due(handover, origins, now).empty()) {
            times.push_back((now - start) / 100ms);
        }
    }
    BOOST_TEST(times == (std::vector<long>{0, 4, 12, 28, 60, 100}), boost::test_tools::per_element());
    BOOST_TEST(dispatch::record_stored_by_peer(handover, origins, 1, 0));
    BOOST_TEST(dispatch::find_origin(origins, 1, start)->stored);
    BOOST_TEST(due(handover, origins, start + 14500ms).empty());
}

BOOST_AUTO_TEST_CASE(what_was_handed_to_a_peer_may_be_in_the_store)
{
    auto origins = mixed_origins();
    origin_handover handover{.needed = true};
    dispatch::record_origin(origins, origin(1), start);
    dispatch::record_origin(origins, origin(2), start);
    BOOST_TEST(due(handover, origins, start, 1).size() == 1U);
    dispatch::record_origin(origins, origin(1, "v2"), start);
    dispatch::record_origin(origins, origin(2, "v2"), start);
    BOOST_TEST(origins.known.at(1).superseded);
    BOOST_TEST(!origins.known.at(2).superseded);
}

BOOST_AUTO_TEST_CASE(a_request_that_moved_is_handed_over_at_once_and_an_earlier_receipt_does_not_count)
{
    auto origins = mixed_origins();
    origin_handover handover{.needed = true};
    dispatch::record_origin(origins, origin(1), start);
    BOOST_TEST(due(handover, origins, start).size() == 1U);
    dispatch::record_origin(origins, origin(1, "v2"), start);
    BOOST_TEST(due(handover, origins, start).size() == 1U);
    BOOST_TEST(!dispatch::record_stored_by_peer(handover, origins, 1, 0));
    BOOST_TEST(!dispatch::find_origin(origins, 1, start)->stored);
    BOOST_TEST(dispatch::record_stored_by_peer(handover, origins, 1, 1));
    BOOST_TEST(!dispatch::record_stored_by_peer(handover, origins, 2, 0)); // unknown
}

BOOST_AUTO_TEST_CASE(new_streams_go_before_repetitions_and_a_request_is_bounded)
{
    auto origins = mixed_origins();
    origin_handover handover{.needed = true};
    for (dispatch::stream_tag i = 1; i <= 3; ++i) {
        dispatch::record_origin(origins, origin(i), start);
    }
    BOOST_TEST(due(handover, origins, start).size() == 3U);
    dispatch::record_origin(origins, origin(9), start);
    BOOST_TEST(due(handover, origins, start + 1s, 2) == (tag_list{9, 1}), boost::test_tools::per_element());
}

// Two instances without the store would hand the same origins to each other without an end.
BOOST_AUTO_TEST_CASE(what_a_peer_has_handed_over_is_not_handed_on)
{
    auto origins = mixed_origins();
    origin_handover handover{.needed = true};
    BOOST_TEST(!dispatch::record_relayed(origins, origin(1), start));
    BOOST_TEST(due(handover, origins, start).empty());
    BOOST_TEST(dispatch::take_unstored(origins, 8, start).size() == 1U); // but written
    BOOST_TEST((dispatch::find_origin(origins, 1, start) == nullptr));   // and not believed, as it may move
    dispatch::record_origin(origins, origin(1), start);                  // taken up here
    BOOST_TEST(due(handover, origins, start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_a_relayed_stream_the_record_with_more_moves_is_kept)
{
    auto origins = mixed_origins();
    auto moved = origin(1, "v2");
    moved.moves = 1;
    dispatch::record_relayed(origins, moved, start);
    const auto batch = dispatch::take_unstored(origins, 8, start);
    dispatch::mark_stored(origins, batch);
    BOOST_TEST(dispatch::record_relayed(origins, origin(1, "v1"), start)); // crossed on the way
    BOOST_TEST(origins.known.at(1).version == "v2");
    moved.version = "v3";
    moved.moves = 2;
    BOOST_TEST(!dispatch::record_relayed(origins, moved, start));
    BOOST_TEST(dispatch::take_unstored(origins, 8, start).front().version == "v3");
    moved.expires = start;
    BOOST_TEST(!dispatch::record_relayed(origins, moved, start)); // has ended
}

BOOST_AUTO_TEST_SUITE_END()
