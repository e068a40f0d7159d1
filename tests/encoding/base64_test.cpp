#include "hibiscusfall/encoding/base64.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hibiscusfall;

BOOST_AUTO_TEST_SUITE(base64_test)

BOOST_AUTO_TEST_CASE(any_bytes_survive)
{
    BOOST_TEST(rc::check("what is encoded decodes to the same", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(encoding::from_base64(encoding::to_base64(bytes)) == bytes);
    }));
}

BOOST_AUTO_TEST_CASE(an_empty_text_is_told_from_one_that_cannot_be_read)
{
    BOOST_TEST(encoding::from_base64("").value() == "");
    BOOST_TEST(!encoding::from_base64("no base64!").has_value());
    BOOST_TEST(!encoding::from_base64("abc").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
