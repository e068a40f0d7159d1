#include "hibiscusfall/telemetry/bounded_log.hpp"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

using namespace hibiscusfall;

namespace
{

/// @brief Redirects standard output into a pipe for its lifetime.
class captured_output
{
public:
    captured_output()
    {
        BOOST_REQUIRE(::pipe(this->pipe_ends.data()) == 0);
        this->saved_stdout = ::dup(STDOUT_FILENO);
        ::dup2(this->pipe_ends[1], STDOUT_FILENO);
        ::fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK);
    }

    ~captured_output()
    {
        ::dup2(this->saved_stdout, STDOUT_FILENO);
        ::close(this->saved_stdout);
        ::close(this->pipe_ends[0]);
        ::close(this->pipe_ends[1]);
    }

    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    std::string read() const
    {
        std::string text;
        std::array<char, 4096> chunk{};
        for (auto bytes_read = ::read(this->pipe_ends[0], chunk.data(), chunk.size()); bytes_read > 0;
             bytes_read = ::read(this->pipe_ends[0], chunk.data(), chunk.size())) {
            text.append(chunk.data(), static_cast<std::size_t>(bytes_read));
        }
        return text;
    }

private:
    std::array<int, 2> pipe_ends{};
    int saved_stdout = -1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(bounded_log_test)

BOOST_AUTO_TEST_CASE(lines_reach_standard_output_with_the_flush)
{
    const captured_output output;
    telemetry::start_bounded_log("entry-1", telemetry::log_level::event, {});
    telemetry::write(telemetry::log_event{"tested"}.with("id", 7));
    BOOST_TEST(output.read().empty());
    telemetry::flush_log();
    const auto text = output.read();
    BOOST_TEST(text.find("instance=entry-1 event=tested id=7\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(lines_beyond_the_rate_are_left_out_and_counted_but_errors_are_written)
{
    const captured_output output;
    telemetry::start_bounded_log(
        "entry-1", telemetry::log_level::event, {.lines_per_second = 1, .burst_lines = 10});
    for (int i = 0; i < 50; ++i) {
        telemetry::write(telemetry::log_event{"many"});
    }
    telemetry::write_error(telemetry::log_event{"important"});
    telemetry::flush_log();
    const auto text = output.read();
    BOOST_TEST(text.find("event=important") != std::string::npos);
    BOOST_TEST(text.find("event=log_lines_left_out count=40") != std::string::npos);
    BOOST_TEST(telemetry::dropped_lines() == 40U);
}

BOOST_AUTO_TEST_CASE(a_line_that_would_be_left_out_is_told_before_it_is_composed)
{
    const captured_output output;
    telemetry::start_bounded_log(
        "entry-1", telemetry::log_level::event, {.lines_per_second = 1, .burst_lines = 2});
    BOOST_TEST(telemetry::admit_line());
    telemetry::write(telemetry::log_event{"many"});
    telemetry::write(telemetry::log_event{"many"});
    BOOST_TEST(!telemetry::admit_line());
    BOOST_TEST(telemetry::dropped_lines() == 1U);
}

BOOST_AUTO_TEST_CASE(an_output_that_takes_nothing_does_not_block)
{
    const captured_output output;
    telemetry::start_bounded_log(
        "entry-1",
        telemetry::log_level::event,
        {.lines_per_second = 1000000, .burst_lines = 1000000, .buffer_bytes = 100000});
    const auto started = std::chrono::steady_clock::now();
    const std::string value(1000, 'x');
    for (int i = 0; i < 1000; ++i) {
        telemetry::write(telemetry::log_event{"large"}.with("value", value));
        telemetry::flush_log();
    }
    BOOST_TEST((std::chrono::steady_clock::now() - started < std::chrono::seconds{5}));
    BOOST_TEST(telemetry::dropped_lines() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
