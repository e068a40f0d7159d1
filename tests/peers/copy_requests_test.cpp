#include "hibiscusfall/peers/copy_requests.hpp"

#include "hibiscusfall/peers/report_pace.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using peers::copy_candidate;
using peers::copy_requests;

namespace
{

constexpr core::instant start{1h};

core::address address_of(int instance)
{
    return {.host = "10.0.0." + std::to_string(instance % 250),
            .port = static_cast<std::uint16_t>(7400 + instance)};
}

copy_candidate near(int instance)
{
    return {.name = "near",
            .list_position = {.revision = 7},
            .own_domain = true,
            .address = address_of(instance)};
}

copy_candidate far(int instance)
{
    return {.name = "far", .list_position = {.revision = 7}, .address = address_of(instance)};
}

/// Instances of several failure domains, of which one reads a new version from the store, reports it and
/// stops before anyone has a copy. Another reader, in the next domain, goes on.
struct played_change {
    int instances = 9;
    int domains = 3;
    bool reader_is_hub = false;       ///< Whether the reader that stops forwards the reports to its domain.
    bool second_holder_stops = false; ///< Whether the first instance that gets a copy stops as well.
    core::duration copy_time = 20ms;
};

struct played_result {
    core::duration last_copy{}; ///< From the report of the change to the last instance's copy.
    int copies = 0;             ///< Requested by all instances.
    bool complete = false;
};

played_result play(const played_change& change)
{
    const auto members = static_cast<std::size_t>(change.instances - 1);
    const auto interval = peers::report_interval(members);
    const auto tick = peers::tick_interval(members);
    struct instance {
        copy_requests requests;
        core::instant has_at = core::instant::max();
        core::instant arrives_at = core::instant::max();
        bool stopped = false;
    };
    std::vector<instance> fleet(static_cast<std::size_t>(change.instances));
    const auto domain_of = [&](int index) { return index % change.domains; };
    // The first instance of a domain is its hub.
    const int stopped = change.reader_is_hub ? 0 : change.domains;
    const int reader = 1;
    std::vector<std::string> names;
    for (int i = 0; i < change.instances; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    fleet[static_cast<std::size_t>(stopped)].has_at = start;
    fleet[static_cast<std::size_t>(stopped)].stopped = true;
    fleet[static_cast<std::size_t>(reader)].has_at = start;
    bool second_stopped = !change.second_holder_stops;
    played_result result;
    for (auto now = start; now < start + 10s; now += tick) {
        for (int i = 0; i < change.instances; ++i) {
            auto& own = fleet[static_cast<std::size_t>(i)];
            if (own.stopped || own.has_at <= now) {
                continue;
            }
            if (own.arrives_at <= now) {
                own.has_at = now;
                result.last_copy = std::max(result.last_copy, core::elapsed(start, now));
                if (!second_stopped) {
                    second_stopped = true;
                    own.stopped = true;
                }
                continue;
            }
            std::vector<copy_candidate> candidates;
            std::vector<int> indices;
            for (int j = 0; j < change.instances; ++j) {
                const auto& other = fleet[static_cast<std::size_t>(j)];
                const bool near_by = domain_of(i) == domain_of(j);
                // A report takes an interval, and half of one at the hub of the receiver's domain.
                auto heard_at =
                    other.has_at == core::instant::max() ? other.has_at : other.has_at + interval * 3 / 2;
                if (change.reader_is_hub && domain_of(i) == domain_of(stopped) && j != stopped &&
                    heard_at != core::instant::max()) {
                    heard_at = std::max(heard_at, start + peers::own_hub_timeout(members) + interval);
                }
                if (heard_at <= now) {
                    candidates.push_back({.name = names[static_cast<std::size_t>(j)],
                                          .list_position = {.revision = 7},
                                          .own_domain = near_by,
                                          .address = address_of(j)});
                    indices.push_back(j);
                }
            }
            const auto chosen = peers::next_copy_source(own.requests,
                                                        {.name = names[static_cast<std::size_t>(i)],
                                                         .is_hub = i < change.domains,
                                                         .hub_fetch_time = interval * 3},
                                                        candidates,
                                                        now);
            if (chosen) {
                ++result.copies;
                if (!fleet[static_cast<std::size_t>(indices[*chosen])].stopped) {
                    own.arrives_at = std::min(own.arrives_at, now + change.copy_time);
                }
            }
        }
    }
    result.complete = std::all_of(fleet.begin(), fleet.end(), [](const instance& each) {
        return each.stopped || each.has_at != core::instant::max();
    });
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(copy_requests_test)

// The instances of a domain waited twice for a reader that had stopped, and had the change after 3 s.
BOOST_AUTO_TEST_CASE(a_change_whose_reader_stops_is_everywhere_within_the_bound)
{
    struct fleet {
        int instances = 0;
        int domains = 0;
        core::duration bound{}; ///< Bound of configurations at this size.
    };
    for (const auto& each :
         {fleet{9, 3, 2s}, fleet{9, 4, 2s}, fleet{62, 5, 3s}, fleet{88, 4, 3s}, fleet{360, 23, 4s}}) {
        for (const bool hub : {false, true}) {
            for (const bool second : {false, true}) {
                BOOST_TEST_CONTEXT(each.instances << " instances, the reader is the hub: " << hub
                                                  << ", the next holder stops too: " << second)
                {
                    const auto played = play({.instances = each.instances,
                                              .domains = each.domains,
                                              .reader_is_hub = hub,
                                              .second_holder_stops = second});
                    BOOST_TEST(played.complete);
                    BOOST_TEST((played.last_copy < each.bound - 500ms));
                    BOOST_TEST(played.copies <= 3 * each.instances);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(sources_that_are_only_slow_cost_a_bounded_number_of_copies)
{
    for (const auto copy_time : {20ms, 200ms, 600ms}) {
        const auto played = play({.instances = 62, .domains = 5, .copy_time = copy_time});
        BOOST_TEST(played.complete);
        BOOST_TEST(played.copies <= static_cast<int>(copy_requests::max_pending) * 62);
    }
}

BOOST_AUTO_TEST_CASE(another_source_is_asked_when_the_first_one_does_not_answer)
{
    copy_requests requests;
    const std::vector<copy_candidate> candidates{near(1), far(2)};
    const peers::copy_requester requester{.name = "here", .hub_fetch_time = 51ms};
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start).value() == 0U);
    BOOST_TEST(!peers::next_copy_source(requests, requester, candidates, start + 100ms).has_value());
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start + 250ms).value() == 1U);
    BOOST_TEST(!peers::next_copy_source(requests, requester, candidates, start + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(another_source_is_asked_when_an_answer_does_not_end)
{
    copy_requests requests;
    const std::vector<copy_candidate> candidates{near(1), far(2)};
    const peers::copy_requester requester{.name = "here", .hub_fetch_time = 51ms};
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start).value() == 0U);
    peers::record_answer(requests, address_of(1));
    BOOST_TEST(!peers::next_copy_source(requests, requester, candidates, start + 500ms).has_value());
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start + 750ms).value() == 1U);
}

BOOST_AUTO_TEST_CASE(a_source_that_failed_is_asked_again_only_after_all_others)
{
    copy_requests requests;
    const std::vector<copy_candidate> candidates{near(1), far(2)};
    const peers::copy_requester requester{.name = "here", .is_hub = true};
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start).value() == 0U);
    peers::record_failure(requests, address_of(1), start + 1ms);
    BOOST_TEST(!peers::next_copy_source(requests, requester, candidates, start + 50ms).has_value());
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start + 101ms).value() == 1U);
    peers::record_failure(requests, address_of(2), start + 110ms);
    BOOST_TEST(!peers::next_copy_source(requests, requester, candidates, start + 300ms).has_value());
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start + 520ms).value() == 0U);
}

BOOST_AUTO_TEST_CASE(a_single_source_that_does_not_answer_is_asked_again_after_a_pause)
{
    copy_requests requests;
    const std::vector<copy_candidate> candidates{near(1)};
    const peers::copy_requester requester{.name = "here"};
    int asked = 0;
    for (auto now = start; now < start + 2s; now += 10ms) {
        if (peers::next_copy_source(requests, requester, candidates, now)) {
            ++asked;
            peers::record_failure(requests, address_of(1), now);
        }
    }
    BOOST_TEST(asked == 4);
}

BOOST_AUTO_TEST_CASE(a_copy_ends_the_requests_to_other_sources)
{
    copy_requests requests;
    const std::vector<copy_candidate> candidates{near(1), far(2)};
    const peers::copy_requester requester{.name = "here", .is_hub = true};
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start).has_value());
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start + 250ms).has_value());
    BOOST_TEST(requests.pending.size() == 2U);
    peers::record_copy(requests, address_of(2), true, start + 260ms);
    BOOST_TEST(requests.pending.empty());
    // The next change is asked for at once, and not from the source that did not answer.
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start + 270ms).value() == 1U);
}

BOOST_AUTO_TEST_CASE(a_copy_that_brought_nothing_new_is_not_asked_for_again_at_once)
{
    copy_requests requests;
    const std::vector<copy_candidate> candidates{near(1)};
    const peers::copy_requester requester{.name = "here"};
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start).has_value());
    peers::record_copy(requests, address_of(1), false, start + 10ms);
    BOOST_TEST(!peers::next_copy_source(requests, requester, candidates, start + 400ms).has_value());
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start + 510ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_reader_gets_the_change_from_the_store_first)
{
    copy_requests requests;
    const std::vector<copy_candidate> candidates{near(1)};
    const peers::copy_requester requester{.name = "here", .own_read_time = 250ms};
    BOOST_TEST(!peers::next_copy_source(requests, requester, candidates, start).has_value());
    BOOST_TEST(!peers::next_copy_source(requests, requester, {}, start + 100ms).has_value());
    BOOST_TEST(!peers::next_copy_source(requests, requester, candidates, start + 200ms).has_value());
    BOOST_TEST(peers::next_copy_source(requests, requester, candidates, start + 450ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
