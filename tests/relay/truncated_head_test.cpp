#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;

namespace
{

const std::string interim_answer = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";

/// How an endpoint states where the body of its answer ends.
enum class framing { length, chunks, none };

using text_maker = std::function<std::string(const std::string&)>;

/// An id as long as those of the requests.
const std::string sample_id = "1000";

constexpr framing all_framings[] = {framing::length, framing::chunks, framing::none};

/// The head of an answer; the line with its framing comes last, so that a cut can leave just that out.
std::string answer_head(std::string_view id, framing kind, std::size_t body_bytes, std::string_view type = {})
{
    std::string head =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Signature: s\r\nX-Request-Id: " + std::string{id} + "\r\n";
    if (!type.empty()) {
        head += "Content-Type: " + std::string{type} + "\r\n";
    }
    if (kind == framing::length) {
        head += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    } else if (kind == framing::chunks) {
        head += "Transfer-Encoding: chunked\r\n";
    }
    return head + "\r\n";
}

std::string plain_head(std::string_view id, framing kind)
{
    return answer_head(id, kind, 5);
}

std::string stream_head_of(std::string_view id, framing kind)
{
    return answer_head(id, kind, numbered_event(1).size(), "text/event-stream");
}

/// A whole answer with the body "hello".
std::string plain_answer(std::string_view id, framing kind)
{
    return plain_head(id, kind) + (kind == framing::chunks ? chunk("hello") + last_chunk : "hello");
}

std::string no_text(const std::string& /*id*/)
{
    return {};
}

/// What endpoints write for each request, and how they end the connection after that.
class cut_answers
{
public:
    void set(const std::string& id, std::string text, bool with_reset)
    {
        const std::lock_guard lock(this->mutex);
        this->texts[id] = {std::move(text), with_reset};
    }

    void write(endpoint_connection& connection, const std::string& id)
    {
        std::pair<std::string, bool> answer;
        {
            const std::lock_guard lock(this->mutex);
            answer = this->texts[id];
        }
        connection.write(answer.first);
        if (answer.second) {
            connection.reset();
        } else {
            connection.shut();
        }
    }

private:
    std::mutex mutex;
    std::map<std::string, std::pair<std::string, bool>> texts;
};

/// Forgets failures and retries, so that the next request is sent to the endpoints as the first one was.
void forget_failures(relay_fixture& fixture)
{
    fixture.run_on_loop([](relay::relay_server& entry) {
        for (auto& endpoint : entry.fleet.endpoints) {
            endpoint.health = {};
        }
        entry.budgets.clear();
    });
}

std::size_t count(const std::string& text, std::string_view substring)
{
    std::size_t occurrences = 0;
    for (auto position = text.find(substring); position != std::string::npos;
         position = text.find(substring, position + 1)) {
        ++occurrences;
    }
    return occurrences;
}

std::string head_request(const std::string& id)
{
    return "HEAD /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: " + id +
           "\r\nConnection: close\r\n\r\n";
}

/// Two endpoints that write cut answers and end their connections.
class cut_fixture
{
public:
    explicit cut_fixture(const catalog::route& route)
    {
        const auto script = [this](endpoint_connection& connection) {
            if (const auto request = connection.read_request()) {
                this->answers.write(connection, request->id);
            }
        };
        this->fixture =
            std::make_unique<relay_fixture>(std::vector<scripted_endpoint::script>{script, script}, route);
    }

    std::string ask(const std::string& id, std::string text, const std::string& request, bool reset = false)
    {
        this->answers.set(id, std::move(text), reset);
        forget_failures(*this->fixture);
        return this->fixture->ask(request);
    }

    /// Asks once for each cut of a text and each way to end a connection, and checks that the part is taken
    /// neither for an answer nor for a refusal and sends the request to no second endpoint.
    /// @param text Makes the whole text for a request.
    /// @param cuts Cuts the text after 0 to cuts - 1 bytes.
    /// @param before Makes what precedes the text, whole.
    void check_each_cut(
        const text_maker& text,
        std::size_t cuts,
        const text_maker& before = no_text,
        const text_maker& request = [](const std::string& id) { return request_bytes(id); })
    {
        constexpr std::size_t asked_at_once = 4; // as many as one endpoint has slots
        for (std::size_t first = 0; first < 2 * cuts; first += asked_at_once) {
            forget_failures(*this->fixture);
            std::vector<std::pair<std::string, std::unique_ptr<raw_caller>>> callers;
            for (std::size_t each = first; each < std::min(first + asked_at_once, 2 * cuts); ++each) {
                const auto id = this->next_id();
                this->answers.set(id, before(id) + text(id).substr(0, each / 2), each % 2 == 1);
                callers.emplace_back(id, std::make_unique<raw_caller>(this->fixture->port()));
                callers.back().second->send(request(id));
            }
            for (std::size_t i = 0; i < callers.size(); ++i) {
                const auto got = callers[i].second->read_all();
                BOOST_TEST_CONTEXT("cut after " << (first + i) / 2 << " bytes: " << got)
                {
                    BOOST_TEST(got.starts_with("HTTP/1.1 502"));
                    BOOST_TEST(count(got, "HTTP/1.1") == 1U);
                    BOOST_TEST(count(got, "X-Signature") == 0U);
                }
            }
        }
        this->check_arrivals();
    }

    /// Checks that each request arrived once.
    void check_arrivals() const
    {
        std::map<std::string, std::size_t> arrivals;
        for (const auto& request : this->fixture->received()) {
            ++arrivals[request.id];
            BOOST_TEST(this->has_asked(request.id), "unknown: " << request.target << ", id " << request.id);
        }
        for (std::size_t id = first_id; id < first_id + this->ids; ++id) {
            BOOST_TEST(arrivals[std::to_string(id)] == 1U,
                       "request " << id << " of " << this->ids << " arrived " << arrivals[std::to_string(id)]
                                  << " times");
        }
    }

    /// A new id, all of one length, so that all heads have the same length too.
    std::string next_id() { return std::to_string(first_id + this->ids++); }

    [[nodiscard]] std::size_t asked() const { return this->ids; }
    [[nodiscard]] std::size_t received() const { return this->fixture->received().size(); }

private:
    [[nodiscard]] bool has_asked(const std::string& id) const
    {
        return id >= std::to_string(first_id) && id < std::to_string(first_id + this->ids) &&
               id.size() == sample_id.size();
    }

    static constexpr std::size_t first_id = 1000;
    cut_answers answers;
    std::size_t ids = 0;
    std::unique_ptr<relay_fixture> fixture;
};

} // namespace

BOOST_AUTO_TEST_SUITE(truncated_head_test)

BOOST_AUTO_TEST_CASE(an_answer_whose_connection_ends_inside_its_head_is_no_answer)
{
    cut_fixture all{route_of(route_kind::non_idempotent)};
    for (const auto kind : all_framings) {
        const auto head = [kind](const std::string& id) { return plain_head(id, kind); };
        all.check_each_cut(head, head(sample_id).size());
    }
}

BOOST_AUTO_TEST_CASE(a_stream_whose_connection_ends_at_any_byte_of_its_head_is_no_answer)
{
    cut_fixture all{route_of(route_kind::stream)};
    for (const auto kind : all_framings) {
        const auto head = [kind](const std::string& id) { return stream_head_of(id, kind); };
        all.check_each_cut(head, head(sample_id).size() + 1); // the whole head alone is no stream either
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_length_or_chunks_is_whole_only_with_its_last_byte)
{
    cut_fixture all{route_of(route_kind::non_idempotent)};
    for (const auto kind : {framing::length, framing::chunks}) {
        const auto text = [kind](const std::string& id) { return plain_answer(id, kind); };
        const auto head_bytes = plain_head(sample_id, kind).size();
        const auto rest = [&](const std::string& id) { return text(id).substr(head_bytes); };
        const auto head = [&](const std::string& id) { return plain_head(id, kind); };
        all.check_each_cut(rest, text(sample_id).size() - head_bytes, head);
        const auto id = all.next_id();
        BOOST_TEST(all.ask(id, text(id), request_bytes(id)).ends_with("\r\n\r\nhello"));
    }
}

BOOST_AUTO_TEST_CASE(a_whole_head_without_length_or_chunks_is_a_whole_answer_unless_it_is_reset)
{
    cut_fixture all{route_of(route_kind::non_idempotent)};
    for (const std::string_view body : {"", "h", "hello"}) { // only the endpoint knows that more should come
        const auto id = all.next_id();
        const auto got = all.ask(id, plain_head(id, framing::none) + std::string{body}, request_bytes(id));
        BOOST_TEST(got.starts_with("HTTP/1.1 200"), got);
        BOOST_TEST(got.ends_with("Content-Length: " + std::to_string(body.size()) +
                                 "\r\nConnection: close\r\n\r\n" + std::string{body}),
                   got);
        const auto reset_id = all.next_id();
        const auto reset = all.ask(
            reset_id, plain_head(reset_id, framing::none) + std::string{body}, request_bytes(reset_id), true);
        BOOST_TEST(reset.starts_with("HTTP/1.1 502"), reset);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_to_a_head_request_is_whole_only_with_the_last_byte_of_its_head)
{
    for (const auto route : {route_kind::non_idempotent, route_kind::stream}) {
        cut_fixture all{route_of(route)};
        for (const auto kind : all_framings) {
            const auto head = [kind](const std::string& id) { return plain_head(id, kind); };
            all.check_each_cut(head, head(sample_id).size(), no_text, head_request);
            const auto id = all.next_id();
            const auto got = all.ask(id, head(id), head_request(id));
            BOOST_TEST(got.starts_with("HTTP/1.1 200"), got);
            BOOST_TEST(got.ends_with("\r\n\r\n"), got);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_head_that_breaks_off_behind_another_answer_or_an_interim_one_is_no_answer)
{
    const auto other_answer = [](const std::string&) { return signed_answer("1", "hello"); };
    const auto other_refusal = [](const std::string&) { return not_run_answer("1"); };
    const auto interim = [](const std::string&) { return interim_answer; };
    const auto named_interim = [](const std::string& id) {
        return "HTTP/1.1 103 Early\r\nX-Not-Run: 1\r\nX-Signature: s\r\nX-Request-Id: " + id + "\r\n\r\n";
    };
    cut_fixture plain{route_of(route_kind::non_idempotent)};
    cut_fixture stream{route_of(route_kind::stream)};
    const auto head = [](const std::string& id) { return plain_head(id, framing::length); };
    const auto event_head = [](const std::string& id) { return stream_head_of(id, framing::chunks); };
    for (const text_maker& before : {text_maker{other_answer},
                                     text_maker{other_refusal},
                                     text_maker{interim},
                                     text_maker{named_interim}}) {
        plain.check_each_cut(head, head(sample_id).size() + 1, before);
        stream.check_each_cut(event_head, event_head(sample_id).size() + 1, before);
    }
}

BOOST_AUTO_TEST_CASE(an_interim_answer_or_a_refusal_that_breaks_off_is_neither_answer_nor_refusal)
{
    cut_fixture all{route_of(route_kind::non_idempotent)};
    all.check_each_cut([](const std::string&) { return interim_answer; }, interim_answer.size() + 1);
    all.check_each_cut(not_run_answer, not_run_answer(sample_id).size());
    const std::string unnamed = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    all.check_each_cut([&](const std::string&) { return unnamed; }, unnamed.size());
    const std::string unframed = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\n";
    all.check_each_cut([&](const std::string&) { return unframed; }, unframed.size());
}

BOOST_AUTO_TEST_CASE(a_head_that_breaks_off_on_a_kept_connection_is_no_answer)
{
    for (const auto route : {route_kind::non_idempotent, route_kind::idempotent, route_kind::stream}) {
        const bool streamed = route == route_kind::stream;
        for (const auto kind : all_framings) {
            cut_answers answers;
            const auto script = [&](endpoint_connection& connection) {
                const auto first = connection.read_request();
                if (!first) {
                    return;
                }
                connection.write(streamed ? signed_stream_head(first->id) + event_chunks(1, 2) + last_chunk
                                          : signed_answer(first->id, "hello"));
                if (const auto second = connection.read_request()) {
                    answers.write(connection, second->id);
                }
            };
            relay_fixture fixture{{script}, route_of(route)};
            const auto head = [&](const std::string& id) {
                return streamed ? stream_head_of(id, kind) : plain_head(id, kind);
            };
            for (std::size_t cut = 0; cut < head(sample_id).size(); ++cut) {
                const auto id = std::to_string(5000 + cut);
                answers.set(id, head(id).substr(0, cut), cut % 2 == 0);
                forget_failures(fixture);
                BOOST_TEST(
                    fixture.ask(request_bytes(std::to_string(1000 + cut))).starts_with("HTTP/1.1 200"));
                const auto got = fixture.ask(request_bytes(id));
                BOOST_TEST(got.starts_with("HTTP/1.1 502"), "cut after " << cut << " bytes: " << got);
            }
            BOOST_TEST(fixture.received().size() == 2 * head(sample_id).size());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_head_that_comes_in_two_parts_is_read_as_one)
{
    for (const auto kind : all_framings) {
        std::atomic<std::size_t> cut{0};
        const auto script = [&](endpoint_connection& connection) {
            if (const auto request = connection.read_request()) {
                const auto text = plain_answer(request->id, kind);
                connection.write(text.substr(0, cut));
                std::this_thread::sleep_for(500us);
                connection.write(text.substr(cut));
            }
        };
        relay_fixture fixture{{script}};
        for (; cut < plain_head(sample_id, kind).size(); ++cut) {
            const auto got = fixture.ask(request_bytes(std::to_string(1000 + cut)));
            BOOST_TEST(got.starts_with("HTTP/1.1 200"), "parted after " << cut << " bytes: " << got);
            BOOST_TEST(got.ends_with("\r\n\r\nhello"), "parted after " << cut << " bytes: " << got);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_may_repeat_is_answered_whole_elsewhere_after_a_head_that_breaks_off)
{
    for (const auto route : {route_kind::idempotent, route_kind::stream}) {
        const bool streamed = route == route_kind::stream;
        std::atomic<std::size_t> cut{0};
        std::atomic<int> request_count{0};
        const auto script = [&](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                if (request_count++ % 2 == 0) {
                    connection.write((streamed ? stream_head_of(request->id, framing::chunks)
                                               : plain_head(request->id, framing::length))
                                         .substr(0, cut));
                    return;
                }
                connection.write(streamed ? signed_stream_head(request->id) + event_chunks(1, 4) + last_chunk
                                          : signed_answer(request->id, "hello"));
            }
        };
        relay_fixture fixture{{script, script}, route_of(route, 2, streamed)};
        const auto cuts = streamed ? stream_head_of(sample_id, framing::chunks).size() + 1
                                   : plain_head(sample_id, framing::length).size() + 1;
        for (; cut < cuts; ++cut) {
            forget_failures(fixture);
            const auto got = fixture.ask(request_bytes(std::to_string(1000 + cut)));
            BOOST_TEST_CONTEXT("cut after " << cut << " bytes: " << got)
            {
                BOOST_TEST(got.starts_with("HTTP/1.1 200"));
                BOOST_TEST(count(got, "HTTP/1.1") == 1U);
                BOOST_TEST(got.ends_with(streamed ? last_chunk : "\r\n\r\nhello"));
                BOOST_TEST(count(got, "id: ") == (streamed ? 3U : 0U));
            }
        }
        BOOST_TEST(fixture.received().size() == 2 * cuts);
    }
}

BOOST_AUTO_TEST_CASE(a_head_that_breaks_off_in_a_resumed_stream_adds_nothing_and_ends_nothing)
{
    const std::vector<std::pair<std::uint32_t, framing>> cases{
        {3, framing::length}, {3, framing::chunks}, {3, framing::none}, {2, framing::none}};
    for (const auto& each : cases) {
        const auto max_attempts = each.first;
        const auto kind = each.second;
        std::atomic<std::size_t> cut{0};
        std::atomic<int> attempt{0};
        const auto script = [&](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                const auto turn = attempt++;
                if (turn == 0) {
                    connection.write(signed_stream_head(request->id) + event_chunks(1, 3));
                    return;
                }
                if (turn == 1) {
                    connection.write(stream_head_of(request->id, kind).substr(0, cut));
                    return;
                }
                connection.write(signed_stream_head(request->id) + event_chunks(3, 5) + last_chunk);
            }
        };
        relay_fixture fixture{{script, script, script}, route_of(route_kind::stream, max_attempts, true)};
        const auto cuts = stream_head_of(sample_id, kind).size() + 1;
        for (; cut < cuts; ++cut) {
            attempt = 0;
            forget_failures(fixture);
            const auto got = fixture.ask(request_bytes(std::to_string(1000 + cut)));
            BOOST_TEST_CONTEXT("cut after " << cut << " bytes, " << max_attempts << " attempts: " << got)
            {
                BOOST_TEST(count(got, "HTTP/1.1") == 1U);
                BOOST_TEST(count(got, "id: ") == (max_attempts == 2 ? 2U : 4U));
                BOOST_TEST(got.ends_with(last_chunk) == (max_attempts == 3));
            }
        }
        BOOST_TEST(fixture.received().size() == max_attempts * cuts);
    }
}

BOOST_AUTO_TEST_CASE(a_head_that_another_head_continues_is_not_taken_for_either)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-More: more\r\n\r\n";
    const std::string failure = "HTTP/1.1 500 Fault\r\nX-More: more\r\n\r\n";
    const std::string success = "HTTP/1.1 200 OK\r\nX-More: more\r\n\r\n";
    for (const auto& first : {refusal, failure, success, interim_answer}) {
        cut_fixture all{route_of(route_kind::non_idempotent)};
        for (std::size_t cut = 1; cut < first.size(); ++cut) {
            const auto id = all.next_id();
            const auto second = signed_answer(id, "ran", first == success ? 500 : 200);
            const auto received_before = all.received();
            const auto got = all.ask(id, first.substr(0, cut) + second, request_bytes(id));
            BOOST_TEST_CONTEXT("cut after " << cut << " bytes of " << first << ": " << got)
            {
                BOOST_TEST(got.starts_with("HTTP/1.1 502"));
                BOOST_TEST(all.received() == received_before + 1);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_head_that_names_a_protocol_in_a_field_is_passed_on)
{
    for (const std::string field :
         {"Via: HTTP/1.1 gateway", "Server: desk (HTTP/1.1)", "X-Text: 200 HTTP/1"}) {
        cut_fixture all{route_of(route_kind::non_idempotent)};
        const auto id = all.next_id();
        auto text = signed_answer(id, "ran");
        text.insert(text.find("X-Signature"), field + "\r\n");
        BOOST_TEST(all.ask(id, text, request_bytes(id)).ends_with("\r\n\r\nran"));
    }
}

BOOST_AUTO_TEST_CASE(a_body_that_another_answer_to_the_request_continues_is_not_passed_on)
{
    const std::string body(200, 'x');
    for (const auto kind : {framing::length, framing::chunks}) {
        cut_fixture all{route_of(route_kind::non_idempotent)};
        for (std::size_t cut = 0; cut < body.size(); ++cut) {
            const auto id = all.next_id();
            const auto second = body.substr(0, cut) + signed_answer(id, body);
            const auto first = second.substr(0, body.size());
            const auto rest = second.substr(body.size());
            const auto text = kind == framing::length
                                  ? answer_head(id, kind, body.size()) + first + rest
                                  : answer_head(id, kind, 0) + chunk(first) + last_chunk + rest;
            const auto got = all.ask(id, text, request_bytes(id));
            BOOST_TEST(got.starts_with("HTTP/1.1 502"), "cut after " << cut << " bytes: " << got);
            BOOST_TEST(all.received() == all.asked());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_whole_body_that_another_answer_follows_is_passed_on)
{
    const std::string body(200, 'x');
    cut_fixture all{route_of(route_kind::non_idempotent)};
    for (const auto kind : {framing::length, framing::chunks}) {
        const auto id = all.next_id();
        const auto text = answer_head(id, kind, body.size()) +
                          (kind == framing::length ? body : chunk(body) + last_chunk) +
                          signed_answer(id, body);
        BOOST_TEST(all.ask(id, text, request_bytes(id)).ends_with("\r\n\r\n" + body));
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_another_answer_to_the_request_continues_does_not_look_whole)
{
    const auto events = numbered_event(1) + numbered_event(2) + numbered_event(3);
    for (const auto& further : {signed_answer(sample_id, "failed", 500),
                                signed_stream_head(sample_id) + event_chunks(1, 4) + last_chunk}) {
        for (std::size_t cut = 0; cut < events.size(); ++cut) {
            cut_fixture all{route_of(route_kind::stream)};
            const auto id = all.next_id();
            const auto text = events.substr(0, cut) + further;
            const auto got =
                all.ask(id, signed_stream_head(id) + chunk(text) + last_chunk, request_bytes(id));
            BOOST_TEST_CONTEXT("cut after " << cut << " bytes: " << got)
            {
                BOOST_TEST(!got.ends_with(last_chunk));
                BOOST_TEST(count(got, "HTTP/1.1") == 1U);
                BOOST_TEST(count(got, "id: 1\n") <= 1U);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
