#include "hibiscusfall/catalog/route_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;

namespace
{

catalog::route_table table_with(const std::vector<std::pair<std::string, std::string>>& host_prefixes)
{
    catalog::route_table table;
    for (const auto& [host, prefix] : host_prefixes) {
        table.routes.push_back({.name = host + prefix,
                                .host = host,
                                .prefix = prefix,
                                .services = {{.service = core::service_id{"draft"}}}});
    }
    catalog::index_routes(table);
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table_test)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    const auto table = table_with({{"a.example", "/x/"}, {"a.example", "/x/y/"}, {"b.example", "/x/y/z/"}});
    BOOST_TEST(catalog::find_route(table, "a.example", "/x/y/z/1")->name == "a.example/x/y/");
    BOOST_TEST(catalog::find_route(table, "a.example", "/x/1")->name == "a.example/x/");
    BOOST_TEST(catalog::find_route(table, "b.example", "/x/1") == nullptr);
    BOOST_TEST(catalog::find_route(table, "c.example", "/x/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_host_is_found_with_a_port_and_in_any_case)
{
    const auto table = table_with({{"A.example", "/x/"}});
    BOOST_TEST(catalog::find_route(table, "a.EXAMPLE:8080", "/x/") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_query_is_not_part_of_the_path)
{
    const auto table = table_with({{"a.example", "/x/"}});
    BOOST_TEST(catalog::find_route(table, "a.example", "/x?next=/x/") == nullptr);
    BOOST_TEST(catalog::find_route(table, "a.example", "/x/?q=1") != nullptr);
}

BOOST_AUTO_TEST_CASE(weights_divide_the_requests)
{
    const catalog::route route{.services = {{.service = core::service_id{"a"}, .weight = 90},
                                            {.service = core::service_id{"b"}, .weight = 10}}};
    int first_count = 0;
    constexpr int requests = 10000;
    for (std::uint64_t i = 0; i < requests; ++i) {
        first_count += catalog::choose_service(route, i * 0x9E3779B97F4A7C15ULL >> 20U).view() == "a" ? 1 : 0;
    }
    BOOST_TEST(first_count > requests * 88 / 100);
    BOOST_TEST(first_count < requests * 92 / 100);
}

BOOST_AUTO_TEST_CASE(a_service_of_weight_zero_gets_nothing)
{
    const catalog::route route{.services = {{.service = core::service_id{"a"}, .weight = 0},
                                            {.service = core::service_id{"b"}, .weight = 1}}};
    for (std::uint64_t i = 0; i < 100; ++i) {
        BOOST_TEST(catalog::choose_service(route, i).view() == "b");
    }
}

BOOST_AUTO_TEST_CASE(a_route_whose_weights_are_all_zero_has_no_service)
{
    const catalog::route route{.services = {{.service = core::service_id{"a"}, .weight = 0},
                                            {.service = core::service_id{"b"}, .weight = 0}}};
    BOOST_TEST(!catalog::has_weight(route));
    BOOST_TEST(!catalog::has_weight(catalog::route{}));
    BOOST_TEST(catalog::has_weight(catalog::route{.services = {{.service = core::service_id{"a"}}}}));
}

BOOST_AUTO_TEST_CASE(keys_name_their_team)
{
    catalog::route_table table;
    table.teams.push_back({.id = core::team_id{"huts"}});
    table.api_keys.emplace("secret", 0);
    BOOST_TEST(catalog::find_team(table, "secret")->id.view() == "huts");
    BOOST_TEST(catalog::find_team(table, "other") == nullptr);
    BOOST_TEST(catalog::find_team(table, "") == nullptr);
}

// A table that holds no key must not be taken for one that needs none.
BOOST_AUTO_TEST_CASE(a_table_without_keys_accepts_no_key_unless_it_is_anonymous)
{
    catalog::route_table table;
    BOOST_TEST(!catalog::check_key(table, catalog::route{}, "").accepted);
    BOOST_TEST(!catalog::check_key(table, catalog::route{}, "secret").accepted);
    BOOST_TEST(catalog::check_key(table, catalog::route{.anonymous = true}, "").accepted);
    table.anonymous = true;
    BOOST_TEST(catalog::check_key(table, catalog::route{}, "").accepted);
}

BOOST_AUTO_TEST_SUITE_END()
