// The umbrella header is self-contained and can be included twice.
#include "hibiscusfall/hibiscusfall.hpp"
// NOLINTNEXTLINE(readability-duplicate-include)
#include "hibiscusfall/hibiscusfall.hpp"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(the_umbrella_header_names_every_package)
{
    BOOST_TEST(hibiscusfall::core::to_string(hibiscusfall::core::run_state::ran) == "ran");
}
