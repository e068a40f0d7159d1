#include "hibiscusfall/relay/event_loop.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

relay::asio::awaitable<void> fail_after_a_pause(relay::event_loop& loop)
{
    co_await loop.sleep(1ms);
    throw std::runtime_error("odd");
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_loop_test)

BOOST_AUTO_TEST_CASE(an_exception_that_leaves_a_coroutine_is_not_lost)
{
    relay::event_loop loop;
    relay::asio::co_spawn(loop.context(), fail_after_a_pause(loop), loop.log_failure("test"));
    loop.run();
    BOOST_TEST(loop.handler_failures() == 1U);
}

BOOST_AUTO_TEST_CASE(a_coroutine_that_is_kept_running_starts_again_after_each_exception_until_it_returns)
{
    relay::event_loop loop;
    int starts = 0;
    const auto began = relay::event_loop::now();
    loop.keep_running("test", [&]() -> relay::asio::awaitable<void> {
        ++starts;
        if (starts == 1) {
            throw std::runtime_error("before its first pause");
        }
        co_await loop.sleep(1ms);
        if (starts == 2) {
            throw std::runtime_error("after its first pause");
        }
    });
    loop.run();
    BOOST_TEST(starts == 3);
    BOOST_TEST(loop.handler_failures() == 2U);
    BOOST_TEST((relay::event_loop::now() - began >= 200ms));
}

BOOST_AUTO_TEST_SUITE_END()
