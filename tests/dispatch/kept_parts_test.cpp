#include "hibiscusfall/dispatch/kept_parts.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};
constexpr std::array<dispatch::prompt_part, 3> parts{{{1, 500}, {2, 4000}, {3, 900}}};
constexpr std::uint64_t memory = 100000;

} // namespace

BOOST_AUTO_TEST_SUITE(kept_parts_test)

BOOST_AUTO_TEST_CASE(a_part_counts_only_behind_all_parts_before_it)
{
    dispatch::kept_parts kept;
    dispatch::note_part(kept, 2, 7, 0, start);
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 7, 0, memory).kept == 0U);
    dispatch::note_part(kept, 1, 7, 0, start);
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 7, 0, memory).kept == 4500U);
}

BOOST_AUTO_TEST_CASE(only_a_shared_part_that_another_endpoint_holds_is_read_again)
{
    dispatch::kept_parts kept;
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 8, 0, memory).read_again == 0U);
    for (const std::uint64_t part : {1, 2, 3}) {
        dispatch::note_part(kept, part, 7, 0, start);
    }
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 8, 0, memory).read_again == 4500U);
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 7, 0, memory).read_again == 0U);
}

BOOST_AUTO_TEST_CASE(a_part_yields_to_as_many_tokens_as_the_memory_holds)
{
    dispatch::kept_parts kept;
    dispatch::note_part(kept, 1, 7, 1000, start);
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 7, 1000 + memory - 1, memory).kept == 500U);
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 7, 1000 + memory, memory).kept == 0U);
}

BOOST_AUTO_TEST_CASE(parts_are_forgotten_with_time_and_with_their_endpoint)
{
    dispatch::kept_parts kept;
    dispatch::note_part(kept, 1, 7, 0, start);
    dispatch::note_part(kept, 1, 8, 0, start + 15s);
    dispatch::forget_old_parts(kept, start + 21s);
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 7, 0, memory).kept == 0U);
    BOOST_TEST(dispatch::look_up(dispatch::resolve(kept, parts), 8, 0, memory).kept == 500U);
    dispatch::forget_endpoint(kept, 8);
    BOOST_TEST(kept.holders.empty());
}

BOOST_AUTO_TEST_SUITE_END()
