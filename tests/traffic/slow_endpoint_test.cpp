// One of twelve endpoints is slowed to five times its first-byte time: what hedges do, and their budget.
#include "test_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <deque>
#include <thread>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t endpoints = 12;
constexpr std::size_t slowed = 4;
constexpr auto first_byte = 5ms;
constexpr int slowdown = 5;
constexpr std::size_t learning_requests = 24; ///< Before the slowdown.
constexpr std::size_t slowed_rounds = 28;
constexpr std::size_t requests = learning_requests + slowed_rounds * endpoints;
constexpr double reserve = 2;
constexpr double fraction = 0.05;

/// Twelve endpoints that are asked in turn, one request at a time; answers name their endpoint.
class slowed_fleet
{
public:
    slowed_fleet() : fleet(options())
    {
        for (std::size_t index = 0; index < endpoints; ++index) {
            auto& server = this->servers.emplace_back([this, index](endpoint_connection& connection) {
                while (connection.read_request()) {
                    if (index == slowed && this->is_slowed) {
                        this->answer_slowly(connection);
                    } else {
                        std::this_thread::sleep_for(first_byte);
                        connection.write(body_of(index));
                    }
                }
            });
            this->fleet.add_endpoint("e" + std::to_string(index), "draft", server.address());
        }
        this->take_in_turn();
        this->fleet.start();
    }

    /// Makes all requests, and counts the answers that are whole.
    std::size_t call_all()
    {
        std::size_t whole = 0;
        for (std::size_t number = 0; number < requests; ++number) {
            this->is_slowed = number >= learning_requests;
            const auto answer = this->fleet.call(completion(false));
            whole += answer.verdict() == "ran" && answer.body.starts_with(R"({"from":"e)") ? 1 : 0;
        }
        return whole;
    }

    [[nodiscard]] std::size_t received() const
    {
        std::size_t sum = 0;
        for (const auto& server : this->servers) {
            sum += server.requests().size();
        }
        return sum;
    }

    /// First sends there. On a busy machine the endpoint before it may be hedged too, and the hedge goes
    /// there.
    std::atomic<std::size_t> sent_to_slowed = 0;
    test_fleet fleet;

private:
    static traffic::caller_server_options options()
    {
        traffic::caller_server_options result;
        result.hedges.shortest = first_byte;
        result.hedge_fraction = fraction;
        result.extra_reserve = reserve;
        return result;
    }

    static std::string body_of(std::size_t endpoint)
    {
        return json_answer(R"({"from":"e)" + std::to_string(endpoint) + R"("})");
    }

    /// Takes five times as long, and at least until the router has decided about a hedge, so that a busy
    /// machine changes nothing in the outcome. An endpoint that lost does not answer any more.
    void answer_slowly(endpoint_connection& connection)
    {
        const auto& counters = this->fleet.callers().counters();
        const auto hedged_before = this->hedged_so_far.load();
        const auto refused_before = this->refused_so_far.load();
        std::this_thread::sleep_for(first_byte * slowdown);
        const bool is_decided = test_fleet::eventually([&] {
            return counters.hedges.load() + counters.hedges_refused.load() > hedged_before + refused_before;
        });
        if (is_decided && counters.hedges.load() > hedged_before) {
            connection.wait_for_close();
        } else {
            connection.write(body_of(slowed));
        }
    }

    /// Puts every endpoint but the next one in turn among the excluded ones. Hedges go to the neighbour.
    void take_in_turn()
    {
        this->fleet.ports.acquire = [this, acquire = this->fleet.ports.acquire](
                                        core::slot_request wanted, const std::function<bool()>& abandoned) {
            const bool is_hedge = !wanted.excluded.empty();
            const auto chosen = is_hedge ? this->turn.load() % endpoints : this->turn++ % endpoints;
            if (!is_hedge) {
                this->sent_to_slowed += chosen == slowed && this->is_slowed ? 1U : 0U;
                const auto& counters = this->fleet.callers().counters();
                this->hedged_so_far = counters.hedges.load();
                this->refused_so_far = counters.hedges_refused.load();
            }
            wanted.excluded.clear();
            for (std::size_t index = 0; index < endpoints; ++index) {
                if (index != chosen) {
                    wanted.excluded.emplace_back("e" + std::to_string(index));
                }
            }
            return acquire(wanted, abandoned);
        };
    }

    std::atomic<bool> is_slowed = false;
    std::atomic<std::size_t> turn = 0;
    std::atomic<std::uint64_t> hedged_so_far = 0; ///< Before the request under way.
    std::atomic<std::uint64_t> refused_so_far = 0;
    std::deque<scripted_endpoint> servers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(slow_endpoint_test)

BOOST_AUTO_TEST_CASE(hedges_answer_for_a_slowed_endpoint_within_their_budget)
{
    slowed_fleet all;
    BOOST_TEST(all.call_all() == requests);
    const auto& counters = all.fleet.callers().counters();
    const auto hedges = counters.hedges.load();
    const auto won = counters.hedges_won.load();
    const auto refused = counters.hedges_refused.load();
    BOOST_TEST_MESSAGE("requests " << requests << ", sent to the slowed endpoint " << all.sent_to_slowed
                                   << ", hedges " << hedges << ", first bytes by hedges " << won
                                   << ", refused by the budget " << refused);
    BOOST_TEST(all.sent_to_slowed == slowed_rounds);
    BOOST_TEST(won > 0U);
    BOOST_TEST(won <= hedges);
    // More requests meet the slowed endpoint than hedges are earned, so that the budget is what bounds them.
    constexpr double most = reserve + fraction * static_cast<double>(requests);
    BOOST_TEST(static_cast<double>(hedges) <= most);
    BOOST_TEST(static_cast<double>(refused) >= static_cast<double>(slowed_rounds) - most);
    // The endpoints' extra work is that of the hedges, no more; a cancelled send may be read late.
    BOOST_TEST(test_fleet::eventually([&] { return all.received() >= requests + hedges; }));
    BOOST_TEST(all.received() == requests + hedges);
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_SUITE_END()
