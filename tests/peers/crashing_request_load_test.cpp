#include "played_reports.hpp"

#include "hibiscusfall/dispatch/fleet_state.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

constexpr core::instant start{1h};
/// The stated time until all instances act on the third crash.
constexpr core::duration contact_time = 3s;
constexpr std::uint64_t popular_digest = 100;
constexpr std::uint64_t first_crashing_digest = 1000;
constexpr std::uint64_t first_page_digest = 1'000'000;
constexpr std::uint64_t first_call_digest = 2'000'000;

/// An endpoint that ends without a request as the cause.
struct ordinary_crash {
    std::size_t endpoint = 0;
    core::instant at{};
};

/// Instances in front of the endpoints of a plain service.
struct played_service {
    testing::played_reports::conditions reports{.instances = 9};
    int endpoints = 4;
    double requests_per_second = 100;
    core::duration back_after = 3s;
    core::duration min_run = 20ms;
    core::duration max_run = 300ms;

    double crashing_share = 0.01;
    bool crashing_repeats = false;   ///< Whether the crashing request may be repeated.
    core::duration burst_interval{}; ///< Between arrivals of the crashing request at all instances at once.
    int crashing_kinds = 1;          ///< Different crashing requests.
    int times_sent = 0;              ///< Each, one after another; at random if zero.
    dispatch::team_tag crashing_team = 7;

    double popular_share = 0;     ///< Of requests that are the same sound GET.
    core::duration popular_run{}; ///< Its longest time at an endpoint.
    double page_share = 0.4;      ///< Of sound GETs of other pages.
    int pages = 2000;
    double stream_share = 0; ///< Of requests whose answers last 2 to 10 s and are resumed elsewhere.
    std::vector<ordinary_crash> ordinary{};
};

struct outcome {
    std::size_t crashes = 0;        ///< By crashing requests.
    std::size_t crashes_by_one = 0; ///< The most by one request.
    std::size_t late = 0; ///< The most of one request sent later than the contact time after its third crash.
    std::size_t late_held = 0; ///< Of these, those sent within the first hold.
    std::size_t sound = 0;
    std::size_t popular_rejected = 0;
    std::size_t pages_rejected = 0;
    std::size_t calls_rejected = 0;
    std::size_t pages_blamed = 0; ///< Pages other than the popular one that were rejected, each once.
    std::size_t streams_rejected = 0;
    std::size_t streams_ended = 0; ///< Cut twice, and not resumed as they were suspected.
    std::size_t most_causes = 0;
    std::size_t most_suspects = 0;
    [[nodiscard]] std::size_t rejected() const
    {
        return this->popular_rejected + this->pages_rejected + this->calls_rejected + this->streams_rejected;
    }
};

struct sent_request {
    std::uint64_t digest = 0;
    dispatch::team_tag team = 0;
    bool crashing = false;
    bool repeatable = false;
    bool is_stream = false;
    bool is_trial = false;
    bool withdrawn = false;
    int attempts = 0;        ///< Made by the instance.
    int callers_repeats = 1; ///< Left to the caller.
    std::uint32_t arrival = 0;
    std::size_t instance = 0;
    std::size_t endpoint = 0;
    core::instant sent{};
    core::instant ends{};
    core::instant resumed_until{}; ///< End of a stream, wherever it runs.
    [[nodiscard]] dispatch::request_traits traits() const { return {.segments = {}, .digest = this->digest}; }
};

class service_play
{
public:
    service_play(const played_service& load, std::uint32_t seed)
        : options(load), random(seed), reports(load.reports, this->random),
          endpoints(static_cast<std::size_t>(load.endpoints))
    {
        for (std::size_t i = 0; i < this->reports.known.size(); ++i) {
            const core::instance_id name{"front-" + std::to_string(i)};
            this->reports.known[i].trial_offset =
                1s *
                static_cast<int>(dispatch::rank_of(name, static_cast<std::uint32_t>(load.reports.instances)));
        }
        std::sort(this->options.ordinary.begin(),
                  this->options.ordinary.end(),
                  [](const ordinary_crash& a, const ordinary_crash& b) { return a.at < b.at; });
    }

    outcome run(core::duration length)
    {
        auto next_ordinary = this->options.ordinary.begin();
        for (auto now = start; now < start + length; now += this->options.reports.step) {
            this->reports.deliver(now);
            this->reports.send_full(now);
            this->confirm_crashes(now);
            this->withdraw(now);
            this->arrive(now);
            this->finish(now);
            for (; next_ordinary != this->options.ordinary.end() && next_ordinary->at <= now;
                 ++next_ordinary) {
                this->crash(next_ordinary->endpoint, now);
            }
            if ((now - start) % 1s == 0s) {
                this->expire(now);
            }
        }
        return this->result;
    }

private:
    struct endpoint_state {
        dispatch::endpoint_tag start = 1;
        core::instant back{};
    };

    struct unconfirmed_crash {
        std::size_t instance = 0;
        dispatch::crash_suspect suspect;
    };

    int draw(int from, int to) { return std::uniform_int_distribution{from, to}(this->random); }
    core::duration draw(core::duration from, core::duration to)
    {
        return milliseconds{this->draw(static_cast<int>(from / 1ms), static_cast<int>(to / 1ms))};
    }
    bool chance(double share) { return std::uniform_real_distribution{}(this->random) < share; }

    std::size_t draw_instance(core::instant now)
    {
        const int last = this->options.reports.instances - (now < this->options.reports.last_joins ? 2 : 1);
        return static_cast<std::size_t>(this->draw(0, last));
    }

    dispatch::crash_attribution& knowledge(const sent_request& request)
    {
        return this->reports.known[request.instance];
    }

    void arrive(core::instant now)
    {
        const auto seconds = std::chrono::duration<double>(this->options.reports.step).count();
        std::poisson_distribution arrivals{this->options.requests_per_second * seconds};
        for (int i = arrivals(this->random); i > 0; --i) {
            this->accept(this->draw_request(now), now);
        }
        if (this->options.burst_interval > 0s && (now - start) % this->options.burst_interval == 0s) {
            for (std::size_t i = 0; i < this->reports.known.size(); ++i) {
                auto request = this->crashing_request();
                request.instance = i;
                this->accept(std::move(request), now);
            }
        }
        while (!this->repeated.empty() && this->repeated.begin()->first <= now) {
            this->accept(this->repeated.extract(this->repeated.begin()).mapped(), now);
        }
    }

    sent_request crashing_request()
    {
        auto kind = this->draw(0, this->options.crashing_kinds - 1);
        if (this->options.times_sent > 0) {
            kind = (this->sent_crashing++ / this->options.times_sent) % this->options.crashing_kinds;
        }
        return {.digest = first_crashing_digest + static_cast<unsigned>(kind),
                .team = this->options.crashing_team,
                .crashing = true,
                .repeatable = this->options.crashing_repeats};
    }

    sent_request draw_request(core::instant now)
    {
        sent_request request;
        if (this->chance(this->options.crashing_share)) {
            request = this->crashing_request();
        } else if (this->chance(this->options.popular_share)) {
            request = {.digest = popular_digest, .team = 1, .repeatable = true};
        } else if (this->options.stream_share > 0 && this->chance(this->options.stream_share)) {
            request = {.digest = first_call_digest + ++this->calls,
                       .team = static_cast<dispatch::team_tag>(this->draw(1, 8)),
                       .repeatable = true,
                       .is_stream = true};
        } else if (this->chance(this->options.page_share)) {
            const auto page = static_cast<unsigned>(this->draw(0, this->options.pages - 1));
            request = {.digest = first_page_digest + page, .team = 1 + page % 8, .repeatable = true};
        } else {
            request = {.digest = first_call_digest + ++this->calls,
                       .team = static_cast<dispatch::team_tag>(this->draw(1, 8))};
        }
        this->result.sound += request.crashing ? 0 : 1;
        request.instance = this->draw_instance(now);
        return request;
    }

    bool is_rejected(const sent_request& request, core::instant now)
    {
        return dispatch::find_cause(this->knowledge(request), request.traits(), request.team, now) != nullptr;
    }

    void count_rejection(const sent_request& request)
    {
        if (request.crashing) {
            return;
        }
        if (request.digest == popular_digest) {
            ++this->result.popular_rejected;
        } else if (request.is_stream) {
            ++this->result.streams_rejected;
        } else if (request.repeatable) {
            ++this->result.pages_rejected;
            this->blamed.insert(request.digest);
            this->result.pages_blamed = this->blamed.size();
        } else {
            ++this->result.calls_rejected;
        }
    }

    void accept(sent_request request, core::instant now)
    {
        dispatch::update_causes(this->knowledge(request), now);
        if (this->is_rejected(request, now)) {
            this->count_rejection(request);
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
            if (this->endpoints[i].back <= now) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        request.endpoint = up[static_cast<std::size_t>(this->draw(0, static_cast<int>(up.size()) - 1))];
        const bool popular = request.digest == popular_digest && this->options.popular_run > 0s;
        request.ends = now + this->draw(this->options.min_run,
                                        popular ? this->options.popular_run : this->options.max_run);
        if (request.is_stream) {
            request.ends = std::max(request.resumed_until, now + this->options.min_run);
            if (request.attempts == 0) {
                request.ends = now + this->draw(2s, 10s);
            }
            request.resumed_until = request.ends;
        }
        request.sent = now;
        request.arrival = request.attempts++ == 0 ? ++this->arrivals : request.arrival;
        const auto tried =
            dispatch::record_sending(this->knowledge(request), request.traits(), request.team, now);
        request.is_trial = !tried.empty();
        this->reports.report(request.instance, {}, {}, now, tried);
        if (request.crashing) {
            this->count_sending(request.digest, now);
        }
        this->running.push_back(std::move(request));
    }

    void count_sending(std::uint64_t digest, core::instant now)
    {
        const auto& crashes = this->crash_times[digest];
        if (crashes.size() < 3 || now <= crashes[2] + contact_time) {
            return;
        }
        this->result.late = std::max(this->result.late, ++this->late[digest]);
        if (now < crashes[2] + dispatch::initial_hold) {
            this->result.late_held = std::max(this->result.late_held, ++this->late_held[digest]);
        }
    }

    /// Attempts that an instance comes to reject are withdrawn. Their endpoints may go on with them.
    void withdraw(core::instant now)
    {
        for (std::size_t i = 0; i < this->reports.known.size(); ++i) {
            if (!this->reports.known[i].changed) {
                continue;
            }
            dispatch::update_causes(this->reports.known[i], now);
            for (auto& each : this->running) {
                if (each.instance == i && !each.withdrawn && !each.is_trial && this->is_rejected(each, now)) {
                    each.withdrawn = true;
                    this->count_rejection(each);
                }
            }
        }
    }

    void finish(core::instant now)
    {
        std::vector<sent_request> finished;
        std::erase_if(this->running, [&](const sent_request& each) {
            const bool is_due = each.ends <= now && !each.crashing;
            if (is_due) {
                finished.push_back(each);
            }
            return is_due;
        });
        for (const auto& each : finished) {
            auto& instance = this->knowledge(each);
            if (!each.withdrawn && (dispatch::has_findings(instance) || this->is_checking(each.instance))) {
                const auto exonerated = dispatch::record_answer(instance, each.traits(), now);
                this->reports.report(each.instance, {}, exonerated, now);
            }
        }
        for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
            const auto crashing =
                std::find_if(this->running.begin(), this->running.end(), [&](const sent_request& each) {
                    return each.crashing && each.ends <= now && each.endpoint == i;
                });
            if (crashing != this->running.end()) {
                this->count_crash(crashing->digest, now);
                this->crash(i, now);
            }
        }
    }

    void count_crash(std::uint64_t digest, core::instant now)
    {
        auto& times = this->crash_times[digest];
        times.push_back(now);
        ++this->result.crashes;
        this->result.crashes_by_one = std::max(this->result.crashes_by_one, times.size());
    }

    void crash(std::size_t endpoint, core::instant now)
    {
        auto& state = this->endpoints[endpoint];
        if (state.back > now) {
            return;
        }
        const auto tag = static_cast<dispatch::endpoint_tag>(endpoint + 1000 * state.start++);
        state.back = now + this->options.back_after;
        std::vector<sent_request> cut;
        std::erase_if(this->running, [&](const sent_request& each) {
            const bool is_cut = each.endpoint == endpoint;
            if (is_cut) {
                cut.push_back(each);
            }
            return is_cut;
        });
        for (auto& each : cut) {
            if (!each.withdrawn) {
                this->break_attempt(each, tag, now);
            }
        }
    }

    void break_attempt(sent_request& request, dispatch::endpoint_tag tag, core::instant now)
    {
        const auto& instance = this->knowledge(request);
        this->unconfirmed.emplace(
            now + this->draw(5ms, 30ms),
            unconfirmed_crash{.instance = request.instance,
                              .suspect = {.endpoint = tag,
                                          .team = request.team,
                                          .traits = dispatch::suspect_traits(instance, request.traits(), now),
                                          .crashed_at = now,
                                          .arrival = request.arrival}});
        if (!request.repeatable) {
            return;
        }
        const int max_attempts = request.is_stream ? 5 : 2;
        if (request.attempts < max_attempts && !this->is_rejected(request, now) &&
            !dispatch::is_suspect(instance, request.traits())) {
            this->accept(request, now);
            return;
        }
        this->result.streams_ended += request.is_stream ? 1 : 0;
        if (request.callers_repeats > 0) {
            --request.callers_repeats;
            request.attempts = 0;
            request.instance = this->draw_instance(now);
            this->repeated.emplace(now + this->draw(200ms, 2s), request);
        }
    }

    [[nodiscard]] bool is_checking(std::size_t instance) const
    {
        return std::any_of(this->unconfirmed.begin(), this->unconfirmed.end(), [&](const auto& each) {
            return each.second.instance == instance;
        });
    }

    void confirm_crashes(core::instant now)
    {
        while (!this->unconfirmed.empty() && this->unconfirmed.begin()->first <= now) {
            const auto crash = this->unconfirmed.extract(this->unconfirmed.begin()).mapped();
            auto& instance = this->reports.known[crash.instance];
            const auto exonerated = dispatch::record_suspect(instance, crash.suspect, now);
            this->reports.report(crash.instance, {crash.suspect}, exonerated, now);
        }
    }

    void expire(core::instant now)
    {
        for (auto& each : this->reports.known) {
            dispatch::expire(each, now);
            this->result.most_causes = std::max(this->result.most_causes, each.causes.size());
            this->result.most_suspects = std::max(this->result.most_suspects, each.suspects.size());
        }
    }

    played_service options;
    std::mt19937 random;
    testing::played_reports reports;
    std::vector<endpoint_state> endpoints;
    std::vector<sent_request> running;
    std::multimap<core::instant, unconfirmed_crash> unconfirmed;
    std::multimap<core::instant, sent_request> repeated;
    std::map<std::uint64_t, std::vector<core::instant>> crash_times; ///< By digest.
    std::map<std::uint64_t, std::size_t> late;
    std::map<std::uint64_t, std::size_t> late_held;
    std::set<std::uint64_t> blamed;
    std::uint64_t calls = 0;
    std::uint32_t arrivals = 0;
    int sent_crashing = 0;
    outcome result;
};

/// The worst of several plays; sound requests are counted in all of them.
outcome play(const played_service& load, std::uint32_t seeds, core::duration length)
{
    outcome worst;
    const auto keep_most = [&](std::size_t outcome::*count, const outcome& one) {
        worst.*count = std::max(worst.*count, one.*count);
    };
    const auto add = [&](std::size_t outcome::*count, const outcome& one) { worst.*count += one.*count; };
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const auto one = service_play{load, seed}.run(length);
        for (const auto count : {&outcome::crashes,
                                 &outcome::crashes_by_one,
                                 &outcome::late,
                                 &outcome::late_held,
                                 &outcome::most_causes,
                                 &outcome::most_suspects}) {
            keep_most(count, one);
        }
        for (const auto count : {&outcome::sound,
                                 &outcome::popular_rejected,
                                 &outcome::pages_rejected,
                                 &outcome::calls_rejected,
                                 &outcome::pages_blamed,
                                 &outcome::streams_rejected,
                                 &outcome::streams_ended}) {
            add(count, one);
        }
    }
    BOOST_TEST_MESSAGE("crashes " << worst.crashes << ", by one " << worst.crashes_by_one << ", late "
                                  << worst.late << ", within the hold " << worst.late_held << ", sound "
                                  << worst.sound << ", rejected popular " << worst.popular_rejected
                                  << ", pages " << worst.pages_rejected << " of " << worst.pages_blamed
                                  << ", streams " << worst.streams_rejected << " (ended "
                                  << worst.streams_ended << "), calls " << worst.calls_rejected << ", causes "
                                  << worst.most_causes << ", suspects " << worst.most_suspects);
    return worst;
}

constexpr std::uint32_t seeds = 20;

/// A popular GET is in progress at all endpoints all the time.
played_service with_popular_page()
{
    return {.popular_share = 0.2, .popular_run = 900ms};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_request_load_test)

BOOST_AUTO_TEST_CASE(one_crashing_call_does_not_end_endpoint_after_endpoint)
{
    const auto result = play({}, seeds, 55s);
    BOOST_TEST(result.crashes <= 6U);
    BOOST_TEST(result.late <= 3U);
    BOOST_TEST(result.late_held == 0U);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(a_crashing_page_is_found_while_a_popular_one_is_cut_by_each_of_its_crashes)
{
    auto load = with_popular_page();
    load.crashing_repeats = true;
    const auto result = play(load, seeds, 55s);
    BOOST_TEST(result.late <= 3U);
    BOOST_TEST(result.late_held == 0U);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(a_crashing_call_that_arrives_at_all_instances_at_once_is_held_after_its_first_crashes)
{
    const auto result = play({.crashing_share = 0, .burst_interval = 5s}, seeds, 55s);
    BOOST_TEST(result.late <= 3U);
    BOOST_TEST(result.late_held == 0U);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(a_crashing_call_is_held_by_sixty_instances_with_lost_and_late_reports)
{
    const auto result = play({.reports = {.instances = 60, .max_delay = 600ms, .full_interval = 600ms},
                              .endpoints = 30,
                              .requests_per_second = 300},
                             4,
                             30s);
    BOOST_TEST(result.late <= 3U);
    BOOST_TEST(result.late_held == 0U);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(an_instance_that_starts_later_holds_a_crashing_call_that_full_reports_name)
{
    const auto result = play({.reports = {.instances = 9, .last_joins = start + 20s}}, seeds, 55s);
    BOOST_TEST(result.late <= 3U);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(a_failure_domain_that_was_cut_off_holds_a_crashing_call_when_it_hears_again)
{
    const auto result =
        play({.reports = {.instances = 10, .cut_from = start, .cut_until = start + 6s}}, seeds, 55s);
    BOOST_TEST(result.late <= 3U);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(single_crashes_of_endpoints_reject_no_sound_requests)
{
    auto load = with_popular_page();
    load.crashing_share = 0;
    load.endpoints = 9;
    load.max_run = 1s;
    for (std::size_t i = 0; i < 6; ++i) {
        load.ordinary.push_back({.endpoint = i, .at = start + 5s + 7s * static_cast<int>(i)});
    }
    const auto result = play(load, seeds, 60s);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(a_rack_that_fails_within_600_ms_rejects_no_sound_requests)
{
    auto load = with_popular_page();
    load.crashing_share = 0;
    load.endpoints = 9;
    for (std::size_t i = 0; i < 3; ++i) {
        load.ordinary.push_back({.endpoint = i, .at = start + 5s + 290ms * static_cast<int>(i)});
        load.ordinary.push_back({.endpoint = i, .at = start + 25s + 250ms * static_cast<int>(i)});
    }
    const auto result = play(load, seeds, 60s);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(a_rolling_release_that_ends_endpoints_abruptly_rejects_no_sound_requests)
{
    auto load = with_popular_page();
    load.crashing_share = 0;
    load.endpoints = 9;
    for (std::size_t i = 0; i < 9; ++i) {
        load.ordinary.push_back({.endpoint = i, .at = start + 5s + 1s * static_cast<int>(i)});
    }
    const auto result = play(load, seeds, 60s);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(a_rolling_release_under_slow_pages_that_are_repeated_rejects_hardly_any_sound_requests)
{
    auto load = with_popular_page();
    load.crashing_share = 0;
    load.endpoints = 9;
    load.max_run = 3s;
    for (std::size_t i = 0; i < 9; ++i) {
        load.ordinary.push_back({.endpoint = i, .at = start + 5s + 1s * static_cast<int>(i)});
    }
    const auto result = play(load, seeds, 60s);
    BOOST_TEST(result.rejected() * 10'000 <= result.sound);
}

BOOST_AUTO_TEST_CASE(a_rolling_release_under_streams_that_are_resumed_rejects_hardly_any_of_them)
{
    auto load = with_popular_page();
    load.crashing_share = 0;
    load.endpoints = 9;
    load.requests_per_second = 50;
    load.stream_share = 0.5;
    for (std::size_t i = 0; i < 9; ++i) {
        load.ordinary.push_back({.endpoint = i, .at = start + 5s + 1s * static_cast<int>(i)});
    }
    const auto result = play(load, seeds, 40s);
    BOOST_TEST(result.rejected() * 10'000 <= result.sound);
}

BOOST_AUTO_TEST_CASE(a_rack_that_fails_under_slow_pages_that_are_repeated_rejects_hardly_any_sound_requests)
{
    auto load = with_popular_page();
    load.crashing_share = 0;
    load.endpoints = 9;
    load.max_run = 3s;
    for (std::size_t i = 0; i < 3; ++i) {
        load.ordinary.push_back({.endpoint = i, .at = start + 5s + 290ms * static_cast<int>(i)});
    }
    const auto result = play(load, seeds, 60s);
    BOOST_TEST(result.rejected() * 10'000 <= result.sound);
}

BOOST_AUTO_TEST_CASE(trials_of_two_hours_end_no_more_than_three_endpoints_after_the_third_crash)
{
    const auto result =
        play({.reports = {.instances = 60, .max_delay = 600ms, .full_interval = 30s, .step = 50ms},
              .endpoints = 30,
              .requests_per_second = 4,
              .crashing_share = 0.5},
             1,
             2h);
    BOOST_TEST(result.late <= 3U);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(a_team_with_ever_new_crashing_calls_gets_no_sound_requests_rejected)
{
    const auto result =
        play({.endpoints = 9, .crashing_kinds = 1000, .times_sent = 6, .crashing_team = 3}, 5, 60s);
    BOOST_TEST(result.rejected() == 0U);
    BOOST_TEST(result.late <= 3U);
    BOOST_TEST(result.most_causes <= dispatch::max_causes);
    BOOST_TEST(result.most_suspects <= dispatch::max_suspects);
}

BOOST_AUTO_TEST_CASE(a_team_with_300_crashing_calls_in_turn_takes_bounded_memory)
{
    const auto result =
        play({.endpoints = 9, .crashing_kinds = 300, .times_sent = 1, .crashing_team = 3}, 1, 300s);
    BOOST_TEST(result.most_causes <= dispatch::max_causes);
    BOOST_TEST(result.most_suspects <= dispatch::max_suspects);
}

BOOST_AUTO_TEST_CASE(a_team_with_300_crashing_calls_in_turn_gets_no_sound_requests_rejected)
{
    const auto result =
        play({.endpoints = 9, .crashing_kinds = 300, .times_sent = 1, .crashing_team = 3}, 3, 600s);
    BOOST_TEST(result.rejected() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
