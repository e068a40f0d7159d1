#include "hibiscusfall/settings/entry_settings.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

const std::string whole = R"([instance]
id = front-1
failure_domain = north
[listen]
callers = 127.0.0.1:8080
readiness = 127.0.0.1:8081
inner = 127.0.0.1:7400
[peers]
seeds = 127.0.0.1:1,127.0.0.2:1
[store]
address = 127.0.0.1:8781
[repeats]
ratio = 0.2
slack = 52
window_s = 10
[shares]
window_s = 4
[shutdown]
limit_s = 8
)";

bool complains_of(const std::string& text, std::string_view key)
{
    const auto reading = settings::read_entry_settings(text);
    return std::any_of(
        reading.errors.begin(), reading.errors.end(), [&](const auto& error) { return error.key == key; });
}

std::string with(const std::string& what, const std::string& instead)
{
    auto text = whole;
    text.replace(text.find(what), what.size(), instead);
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_settings_test)

BOOST_AUTO_TEST_CASE(a_whole_file_is_read)
{
    const auto reading = settings::read_entry_settings(whole);
    BOOST_REQUIRE(reading);
    BOOST_TEST(reading.settings.id.view() == "front-1");
    BOOST_TEST(reading.settings.seeds.size() == 2U);
    BOOST_TEST(reading.settings.repeat_ratio == 0.2);
    BOOST_TEST((reading.settings.share_window == 4s));
    BOOST_TEST(reading.settings.policy == "engine_model");
}

BOOST_AUTO_TEST_CASE(fractions_are_taken_where_they_may_stand)
{
    const auto reading = settings::read_entry_settings(with("limit_s = 8", "limit_s = 7.5"));
    BOOST_REQUIRE(reading);
    BOOST_TEST((reading.settings.stop_limit == 7500ms));
}

BOOST_AUTO_TEST_CASE(a_missing_or_wrong_value_is_named)
{
    BOOST_TEST(complains_of(with("id = front-1\n", ""), "id"));
    BOOST_TEST(complains_of(with("callers = 127.0.0.1:8080", "callers = here"), "callers"));
    BOOST_TEST(complains_of(with("ratio = 0.2", "ratio = much"), "ratio"));
    BOOST_TEST(complains_of(with("ratio = 0.2", "ratio = -1"), "ratio"));
    BOOST_TEST(complains_of(with("ratio = 0.2", "ratio = nan"), "ratio"));
    BOOST_TEST(complains_of(with("seeds = 127.0.0.1:1,", "seeds = nobody,"), "seeds"));
    BOOST_TEST(complains_of(whole + "[placement]\npolicy = best\n", "policy"));
    BOOST_TEST(complains_of(whole + "[other]\nkey = 1\n", "key"));
}

BOOST_AUTO_TEST_CASE(every_setting_is_described)
{
    for (const auto& each : settings::describe_entry_settings()) {
        BOOST_TEST(!each.text.empty());
        BOOST_TEST(!each.unit.empty());
    }
}

// Guards against a number of descriptors that closes connections without need, and against templates on
// machines that state none.
BOOST_AUTO_TEST_CASE(the_number_of_descriptors_is_read_and_may_be_empty)
{
    const auto set = [](const std::string& value) {
        return with("failure_domain = north", "failure_domain = north\ndescriptors = " + value);
    };
    BOOST_TEST(settings::read_entry_settings(set("4100")).settings.descriptors == 4100U);
    BOOST_TEST(settings::read_entry_settings(set("")).settings.descriptors == 0U);
    BOOST_TEST(settings::read_entry_settings(whole).settings.descriptors == 0U);
    for (const auto* wrong : {"-1", "300", "2000000", "many"}) {
        BOOST_TEST(complains_of(set(wrong), "descriptors"));
    }
}

// Guards against limits and regions that are read wrongly, and against templates without values that are
// refused.
BOOST_AUTO_TEST_CASE(regions_and_limits_of_cold_endpoints_are_read_and_may_be_empty)
{
    const auto read = settings::read_entry_settings(
        with("failure_domain = north", "failure_domain = north\nregions = north:east,south:west") +
        "[cold_endpoints]\novershoot = 1.5\nslack = 5\n[second_sends]\nlimit = 0.25\n");
    BOOST_REQUIRE(read);
    BOOST_TEST(read.settings.regions.size() == 2U);
    BOOST_TEST(read.settings.regions.at(core::failure_domain_id{"south"}) == "west");
    BOOST_TEST(read.settings.cold_overshoot == 1.5);
    BOOST_TEST(read.settings.cold_slack == 5.0);
    BOOST_TEST(read.settings.second_send_limit == 0.25);
    const auto empty =
        settings::read_entry_settings(with("failure_domain = north", "failure_domain = north\nregions =") +
                                      "[cold_endpoints]\novershoot =\nslack =\n");
    BOOST_REQUIRE(empty);
    const auto missing = settings::read_entry_settings(whole);
    for (const auto* each : {&empty, &missing}) {
        BOOST_TEST(each->settings.regions.empty());
        BOOST_TEST(each->settings.cold_overshoot == 1.0);
        BOOST_TEST(each->settings.cold_slack == 0.0);
        BOOST_TEST(each->settings.second_send_limit == 0.0);
    }
}

// Guards against a wrong limit or region that passes for a sound one.
BOOST_AUTO_TEST_CASE(wrong_regions_and_limits_of_cold_endpoints_are_named)
{
    for (const std::string value : {"north", ":east", "north:", "north:east,south"}) {
        BOOST_TEST(complains_of(with("failure_domain = north", "failure_domain = north\nregions = " + value),
                                "regions"));
    }
    for (const std::string value : {"-1", "nan", "1e9", "much"}) {
        BOOST_TEST(complains_of(whole + "[cold_endpoints]\novershoot = " + value + "\n", "overshoot"));
        BOOST_TEST(complains_of(whole + "[cold_endpoints]\nslack = " + value + "\n", "slack"));
        BOOST_TEST(complains_of(whole + "[second_sends]\nlimit = " + value + "\n", "limit"));
    }
    BOOST_TEST(complains_of(whole + "[second_sends]\nlimit = 0.51\n", "limit"));
}

BOOST_AUTO_TEST_SUITE_END()
