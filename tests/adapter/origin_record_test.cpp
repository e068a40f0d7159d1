#include "origin_record.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hibiscusfall;
using adapter::decode_origin;
using adapter::encode_origin;

BOOST_AUTO_TEST_SUITE(origin_record_test)

BOOST_AUTO_TEST_CASE(a_record_is_read_as_it_was_written)
{
    BOOST_TEST(rc::check("all fields are kept", [] {
        const auto version = *rc::gen::nonEmpty<std::string>();
        const dispatch::stream_origin origin{.version = version,
                                             .moves = *rc::gen::arbitrary<std::uint32_t>()};
        const auto era = *rc::gen::arbitrary<std::uint64_t>();
        const auto read = decode_origin(encode_origin(origin, era), 7);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->origin.version == version);
        RC_ASSERT(read->origin.moves == origin.moves);
        RC_ASSERT(read->origin.revision == 7U);
        RC_ASSERT(read->era == era);
    }));
}

// Instances of an earlier release write the version alone.
BOOST_AUTO_TEST_CASE(a_value_without_numbers_is_a_version)
{
    for (const std::string text : {"v1", "1", "1.2", "1 v", "of i-7 1790000000123", "2 x v"}) {
        const auto read = decode_origin(text, 7);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->origin.version == text);
        BOOST_TEST(read->origin.moves == 0U);
        BOOST_TEST(!read->era.has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_value_that_names_no_version_is_none)
{
    BOOST_TEST(!decode_origin("", 7).has_value());
    BOOST_TEST(!decode_origin("3 0 ", 7).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
