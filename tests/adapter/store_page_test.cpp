#include "store_page.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace hibiscusfall;
using adapter::read_store_page;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(store_page_test)

BOOST_AUTO_TEST_CASE(items_deletions_and_broken_values_are_told_apart)
{
    const auto body = json::parse(R"({"as-of":12,"has-more":true,"items":[
        {"key":"a","value":"aGk="},{"key":"b","deleted":true,"revision":9},{"key":"c","value":"not base64"},
        {"key":"d","value":7}]})");
    const auto page = read_store_page(body, "items");
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->revision == 12U);
    BOOST_TEST(page->has_more);
    BOOST_REQUIRE(page->items.size() == 4U);
    BOOST_TEST(page->items[0].value.value() == "hi");
    BOOST_TEST(!page->items[1].value.has_value());
    BOOST_TEST(!page->items[2].decoded);
    BOOST_TEST(!page->items[3].decoded);
}

BOOST_AUTO_TEST_CASE(fields_of_any_type_end_no_process)
{
    const std::vector<std::string> values{"null",
                                          "7",
                                          "-1",
                                          "\"x\"",
                                          "[]",
                                          "{}",
                                          "[7]",
                                          "[{\"key\":7}]",
                                          "true",
                                          "[{\"key\":\"a\",\"deleted\":\"yes\",\"value\":[]}]",
                                          "1e400"};
    BOOST_TEST(rc::check("a page of any shape is read or refused", [&] {
        const auto pick = [&] { return *rc::gen::elementOf(values); };
        const auto text = "{\"items\":" + pick() + ",\"as-of\":" + pick() + ",\"has-more\":" + pick() + "}";
        const auto body = json::parse(text, nullptr, false);
        const auto page = read_store_page(body, "items");
        RC_ASSERT(!page || page->items.size() <= 1U);
    }));
    BOOST_TEST(!read_store_page(json::array(), "items").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
