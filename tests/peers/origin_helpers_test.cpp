#include "hibiscusfall/peers/origin_helpers.hpp"

#include "hibiscusfall/peers/origin_messages.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using peers::choose_helper;
using peers::origin_helpers;

namespace
{

constexpr core::instant start{1h};

core::address address(int number)
{
    return {.host = "10.0.0." + std::to_string(number), .port = 7400};
}

/// @brief Peers with these numbers.
class fleet
{
public:
    explicit fleet(int size)
    {
        for (int i = 0; i < size; ++i) {
            this->names.push_back("i-" + std::to_string(i));
        }
    }

    [[nodiscard]] std::vector<peers::helper_candidate> candidates() const
    {
        std::vector<peers::helper_candidate> result;
        for (std::size_t i = 0; i < this->names.size(); ++i) {
            if (!this->names[i].empty()) {
                result.push_back({.name = this->names[i], .address = address(static_cast<int>(i))});
            }
        }
        return result;
    }

    void remove(const core::address& gone)
    {
        for (std::size_t i = 0; i < this->names.size(); ++i) {
            if (address(static_cast<int>(i)) == gone) {
                this->names[i].clear();
            }
        }
    }

private:
    std::vector<std::string> names;
};

} // namespace

BOOST_AUTO_TEST_SUITE(origin_helpers_test)

BOOST_AUTO_TEST_CASE(the_same_peer_is_asked_as_long_as_it_confirms)
{
    const fleet others{8};
    origin_helpers helpers;
    const auto first = choose_helper(helpers, "me", others.candidates(), start);
    BOOST_REQUIRE(static_cast<bool>(first));
    for (auto now = start; now < start + 5s; now += 100ms) {
        BOOST_TEST((choose_helper(helpers, "me", others.candidates(), now) == first));
        peers::record_receipt(helpers, first);
    }
}

BOOST_AUTO_TEST_CASE(a_peer_that_confirms_nothing_or_is_gone_is_replaced)
{
    fleet others{3};
    origin_helpers helpers;
    const auto first = choose_helper(helpers, "me", others.candidates(), start);
    BOOST_TEST((choose_helper(helpers, "me", others.candidates(), start + 300ms) == first));
    const auto second = choose_helper(helpers, "me", others.candidates(), start + 400ms);
    BOOST_TEST((second && second != first));
    others.remove(second);
    const auto third = choose_helper(helpers, "me", others.candidates(), start + 500ms);
    BOOST_TEST((third && third != first && third != second));
    // Nobody is left until the first one is tried again.
    BOOST_TEST(!choose_helper(helpers, "me", others.candidates(), start + 900ms));
    BOOST_TEST((choose_helper(helpers, "me", others.candidates(), start + 3400ms) == first));
    BOOST_TEST(!choose_helper(helpers, "me", {}, start + 10s));
}

BOOST_AUTO_TEST_CASE(a_late_receipt_ends_the_exclusion_of_its_sender)
{
    const fleet others{2};
    origin_helpers helpers;
    const auto first = choose_helper(helpers, "me", others.candidates(), start);
    const auto second = choose_helper(helpers, "me", others.candidates(), start + 400ms);
    peers::record_receipt(helpers, first);
    BOOST_TEST((choose_helper(helpers, "me", others.candidates(), start + 800ms) == first));
    BOOST_TEST((first != second));
}

BOOST_AUTO_TEST_CASE(peers_whose_calls_fail_are_asked_last)
{
    const fleet others{8};
    auto candidates = others.candidates();
    for (auto& each : candidates) {
        each.store_failing = each.address != address(5);
    }
    origin_helpers helpers;
    BOOST_TEST((choose_helper(helpers, "me", candidates, start) == address(5)));
    BOOST_TEST(static_cast<bool>(choose_helper(helpers, "me", candidates, start + 400ms)));
}

// A domain that loses the store at once must not load one helper.
BOOST_AUTO_TEST_CASE(instances_that_lose_the_store_together_choose_different_peers)
{
    const fleet others{40};
    std::set<core::address> chosen;
    for (int i = 0; i < 16; ++i) {
        origin_helpers helpers;
        chosen.insert(choose_helper(helpers, "cut-" + std::to_string(i), others.candidates(), start));
    }
    BOOST_TEST(chosen.size() >= 10U);
}

BOOST_AUTO_TEST_CASE(messages_are_read_as_they_were_written_and_odd_bytes_are_none)
{
    const peers::origin_request request{
        .origins = {{.stream = 7, .service = "s1", .version = "v1", .moves = 2, .left_ms = 900}}};
    const auto bytes = encode(request);
    const auto read = peers::decode_origin_request(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->origins.size() == 1U);
    BOOST_TEST(read->origins.front().version == "v1");
    BOOST_TEST(read->origins.front().left_ms == 900U);
    const peers::origin_receipt receipt{.lease = 9, .origins = {{.stream = 7, .moves = 2}}};
    BOOST_TEST(peers::decode_origin_receipt(encode(receipt))->lease == 9U);
    BOOST_TEST(!peers::decode_origin_receipt(bytes).has_value());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!peers::decode_origin_request(std::string_view{bytes}.substr(0, length)).has_value());
    }
    BOOST_TEST(!peers::decode_origin_request(bytes + "x").has_value());
    BOOST_TEST(!peers::decode_origin_request(std::string(64, '\xff')).has_value());
    // A request of a datagram's size stays within it.
    peers::origin_request full;
    for (std::uint64_t i = 0; i < 25; ++i) {
        full.origins.push_back(
            {.stream = ~i, .service = "hibiscus-pool", .version = "v1.10", .left_ms = 15000});
    }
    BOOST_TEST(encode(full).size() < 1200U);
}

BOOST_AUTO_TEST_SUITE_END()
