#include "hibiscusfall/dispatch/prefix_cache.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};
constexpr std::array<dispatch::prompt_segment, 3> segments{{{1, 500}, {2, 4000}, {3, 900}}};
constexpr std::uint64_t memory = 100000;

} // namespace

BOOST_AUTO_TEST_SUITE(prefix_cache_test)

BOOST_AUTO_TEST_CASE(a_part_counts_only_behind_all_parts_before_it)
{
    dispatch::prefix_cache cache;
    dispatch::record_segment(cache, 2, 7, 0, start);
    BOOST_TEST(
        dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 7, 0, memory).cached_tokens ==
        0U);
    dispatch::record_segment(cache, 1, 7, 0, start);
    BOOST_TEST(
        dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 7, 0, memory).cached_tokens ==
        4500U);
}

BOOST_AUTO_TEST_CASE(only_a_shared_part_that_another_endpoint_holds_is_read_again)
{
    dispatch::prefix_cache cache;
    BOOST_TEST(
        dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 8, 0, memory).reread_tokens ==
        0U);
    for (const std::uint64_t segment : {1, 2, 3}) {
        dispatch::record_segment(cache, segment, 7, 0, start);
    }
    BOOST_TEST(
        dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 8, 0, memory).reread_tokens ==
        4500U);
    BOOST_TEST(
        dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 7, 0, memory).reread_tokens ==
        0U);
}

BOOST_AUTO_TEST_CASE(a_part_yields_to_as_many_tokens_as_the_memory_holds)
{
    dispatch::prefix_cache cache;
    dispatch::record_segment(cache, 1, 7, 1000, start);
    BOOST_TEST(
        dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 7, 1000 + memory - 1, memory)
            .cached_tokens == 500U);
    BOOST_TEST(dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 7, 1000 + memory, memory)
                   .cached_tokens == 0U);
}

BOOST_AUTO_TEST_CASE(parts_are_forgotten_with_time_and_with_their_endpoint)
{
    dispatch::prefix_cache cache;
    dispatch::record_segment(cache, 1, 7, 0, start);
    dispatch::record_segment(cache, 1, 8, 0, start + 15s);
    dispatch::expire_segments(cache, start + 21s);
    BOOST_TEST(
        dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 7, 0, memory).cached_tokens ==
        0U);
    BOOST_TEST(
        dispatch::match_prefix(dispatch::resolve_segments(cache, segments), 8, 0, memory).cached_tokens ==
        500U);
    dispatch::remove_endpoint(cache, 8);
    BOOST_TEST(cache.holders.empty());
}

BOOST_AUTO_TEST_SUITE_END()
