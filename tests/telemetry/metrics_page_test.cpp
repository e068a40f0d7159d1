#include "hibiscusfall/telemetry/metrics_page.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(metrics_page_test)

BOOST_AUTO_TEST_CASE(writes_one_head_for_each_metric)
{
    telemetry::metrics_page page;
    page.counter("requests_total", "Requests.", {{"outcome", "ran"}}, 12);
    page.counter("requests_total", "Requests.", {{"outcome", "a\"b"}}, 3);
    BOOST_TEST(page.text() == "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                              "requests_total{outcome=\"ran\"} 12\nrequests_total{outcome=\"a\\\"b\"} 3\n");
}

BOOST_AUTO_TEST_CASE(a_histogram_counts_everything_in_its_last_bucket)
{
    telemetry::latency_recorder recorder;
    recorder.record(10ms);
    recorder.record(2000s);
    telemetry::metrics_page page;
    page.histogram("wait_seconds", "Wait.", {}, recorder.snapshot());
    BOOST_TEST(page.text().find("wait_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    BOOST_TEST(page.text().find("wait_seconds_count 2\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_quantile_lies_within_a_bucket_of_the_value)
{
    telemetry::latency_recorder recorder;
    for (int index = 1; index <= 1000; ++index) {
        recorder.record(std::chrono::milliseconds{index});
    }
    const auto p95 = recorder.snapshot().quantile(0.95);
    BOOST_TEST(p95 >= 0.950);
    BOOST_TEST(p95 <= 0.950 * 1.26);
    BOOST_TEST(telemetry::latency_recorder{}.snapshot().quantile(0.5) == 0);
}

BOOST_AUTO_TEST_CASE(more_buckets_make_finer_quantiles)
{
    telemetry::latency_recorder coarse;
    telemetry::latency_recorder fine{100};
    for (auto* recorder : {&coarse, &fine}) {
        recorder->record(510ms);
    }
    BOOST_TEST(coarse.snapshot().quantile(0.99) > 0.6);
    BOOST_TEST(fine.snapshot().quantile(0.99) >= 0.510);
    BOOST_TEST(fine.snapshot().quantile(0.99) <= 0.510 * 1.024);
}

BOOST_AUTO_TEST_SUITE_END()
