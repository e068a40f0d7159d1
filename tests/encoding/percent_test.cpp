#include "hibiscusfall/encoding/percent.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace hibiscusfall;

BOOST_AUTO_TEST_SUITE(percent_test)

BOOST_AUTO_TEST_CASE(a_key_of_usual_characters_stays_as_it_is)
{
    BOOST_TEST(encoding::to_percent("servers/i-7f3a91c2_X.~") == "servers/i-7f3a91c2_X.~");
}

BOOST_AUTO_TEST_CASE(characters_with_a_meaning_in_a_request_line_are_encoded)
{
    BOOST_TEST(encoding::to_percent(" &%#+=?\r\n\"\x7f\xc3") == "%20%26%25%23%2B%3D%3F%0D%0A%22%7F%C3");
    BOOST_TEST(encoding::to_percent(std::string_view{"\0", 1}) == "%00");
}

BOOST_AUTO_TEST_CASE(any_bytes_come_back_and_none_of_them_ends_a_value)
{
    BOOST_TEST(rc::check("decoding gives what was encoded", [] {
        const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const auto text = encoding::to_percent(bytes);
        RC_ASSERT(std::all_of(text.begin(), text.end(), [](char each) {
            return each > ' ' && each <= '~' && each != '&' && each != '#' && each != '+';
        }));
        RC_ASSERT(encoding::from_percent(text) == bytes);
    }));
}

BOOST_AUTO_TEST_CASE(a_text_that_is_not_encoded_so_is_refused)
{
    for (const auto* bad : {"%", "a%2", "%g0", "%0g", "%-1", "%+1", "% 1", "%%20"}) {
        BOOST_TEST(!encoding::from_percent(bad).has_value(), bad);
    }
}

BOOST_AUTO_TEST_SUITE_END()
