#include "endpoint_exchange.hpp"

#include "request_reading.hpp"

#include "hibiscusfall/traffic/endpoint_rests.hpp"
#include "hibiscusfall/traffic/joined_head.hpp"

#include <limits>
#include <utility>

namespace hibiscusfall::traffic::detail
{

using core::failure;
using core::verdict;

namespace
{

/// Interim responses (1xx) that may precede a response.
constexpr int max_interim_responses = 8;

/// Whether an error says that bytes arrived which do not follow the protocol.
bool is_protocol_error(const beast::error_code& error)
{
    return error.category() == make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

bool is_refusal(const http::response_header<>& head)
{
    return head.result() == http::status::too_many_requests ||
           head.result() == http::status::service_unavailable;
}

/// Whether the endpoint's own word is that it did not run the request.
bool says_not_run(const http::response_header<>& head)
{
    return is_refusal(head) && beast::iequals(head["X-Request-Run"], "no");
}

} // namespace

verdict endpoint_exchange::send(const core::address& to,
                                const endpoint_request& request,
                                std::unique_ptr<http_socket> connection)
{
    this->target = to;
    this->request_id = std::string{request["X-Request-Id"]};
    this->kept = connection != nullptr;
    this->socket = this->kept ? std::move(connection) : std::make_unique<http_socket>();
    if (!this->kept) {
        if (const auto error = this->socket->connect(to, this->limits.connect, this->limits.connect_from)) {
            return verdict::not_run(failure::connection_failed, core::to_string(to) + ": " + error.message());
        }
    }
    std::size_t written = 0;
    if (const auto error = this->socket->write(request, this->limits.write, written)) {
        const auto detail = core::to_string(to) + ": " + error.message();
        // A byte that was handed to the connection may have arrived.
        return written == 0 ? verdict::not_run(failure::connection_broken, detail)
                            : verdict::may_have_run(failure::connection_broken, detail);
    }
    this->expect_head();
    return verdict::ran();
}

void endpoint_exchange::expect_head()
{
    this->parser.emplace();
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
}

answer_progress endpoint_exchange::advance()
{
    if (this->broken) {
        return answer_progress::failed;
    }
    if (!this->head_read) {
        if (const auto progress = this->read_head(); progress != answer_progress::begun) {
            return progress;
        }
    }
    return this->held_piece ? answer_progress::begun : this->read_piece();
}

bool endpoint_exchange::piece_is_here()
{
    return this->advance() != answer_progress::waiting;
}

std::optional<std::string_view> endpoint_exchange::next_piece()
{
    return std::exchange(this->held_piece, std::nullopt);
}

/// Reads up to the end of the head, as far as it has arrived. Drops interim responses that precede it.
answer_progress endpoint_exchange::read_head()
{
    while (!this->parser->is_header_done()) {
        beast::error_code error;
        const bool parsed = this->socket->parse_held(*this->parser, error);
        if (error) {
            return this->fail(this->describe(error));
        }
        if (!parsed) {
            if (const auto progress = this->receive(); progress != answer_progress::begun) {
                return progress;
            }
        }
        const bool interim = this->parser->is_header_done() && this->head().result_int() / 100 == 1;
        if (interim && !is_joined_head(this->head())) {
            if (++this->interim_responses > max_interim_responses) {
                return this->fail(verdict::may_have_run(
                    failure::garbled_answer, core::to_string(this->target) + ": too many interim responses"));
            }
            this->expect_head();
        }
    }
    this->head_read = true;
    return this->check_head() ? answer_progress::begun : answer_progress::failed;
}

/// Reads one piece of the body, as far as it has arrived.
answer_progress endpoint_exchange::read_piece()
{
    while (!this->parser->is_done()) {
        auto& body = this->parser->get().body();
        body.data = this->piece.data();
        body.size = this->piece.size();
        beast::error_code error;
        const bool parsed = this->socket->parse_held(*this->parser, error);
        if (error && error != http::error::need_buffer) {
            return this->fail(this->describe(error));
        }
        if (const auto length = this->piece.size() - body.size; length > 0) {
            this->held_piece = std::string_view{this->piece.data(), length};
            return answer_progress::begun;
        }
        if (!parsed) {
            if (const auto progress = this->receive(); progress != answer_progress::begun) {
                return progress;
            }
        }
    }
    if (!this->check_end()) {
        return answer_progress::failed;
    }
    this->held_piece = std::string_view{};
    return answer_progress::begun;
}

/// Takes what has arrived.
answer_progress endpoint_exchange::receive()
{
    const auto error = this->socket->receive_bytes({});
    if (error == beast::error::timeout) {
        return answer_progress::waiting;
    }
    if (error) {
        return this->fail(this->describe(error));
    }
    this->received = true;
    return answer_progress::begun;
}

answer_progress endpoint_exchange::fail(verdict reason)
{
    this->failure = std::move(reason);
    this->broken = true;
    return answer_progress::failed;
}

std::optional<core::duration> endpoint_exchange::retry_after() const
{
    if (!this->head_read || !is_refusal(this->head())) {
        return std::nullopt;
    }
    return read_retry_after(to_view(this->head()[http::field::retry_after]));
}

bool endpoint_exchange::check_head()
{
    const auto& answer = this->head();
    if (is_joined_head(answer)) {
        this->fail(verdict::may_have_run(failure::garbled_answer,
                                         core::to_string(this->target) +
                                             ": the head of the answer holds that of another one"));
        return false;
    }
    const auto echoed = answer["X-Request-Id"];
    if (!echoed.empty() && echoed != beast::string_view{this->request_id}) {
        this->fail(verdict::may_have_run(failure::garbled_answer,
                                         core::to_string(this->target) + ": the answer belongs to request " +
                                             std::string{echoed}));
        return false;
    }
    this->names_request = !echoed.empty();
    if (says_not_run(answer)) {
        this->fail(verdict::not_run(failure::endpoint_refused,
                                    core::to_string(this->target) + ": the endpoint answered " +
                                        std::to_string(answer.result_int()) +
                                        " and did not run the request"));
        return false;
    }
    if (this->parser->need_eof()) {
        this->fail(verdict::may_have_run(failure::garbled_answer,
                                         core::to_string(this->target) +
                                             ": the answer states no length, so its end is not provable"));
        return false;
    }
    return true;
}

bool endpoint_exchange::check_end()
{
    if (this->socket->holds_bytes()) {
        this->fail(verdict::may_have_run(
            failure::garbled_answer, core::to_string(this->target) + ": bytes follow the end of the answer"));
        return false;
    }
    return true;
}

verdict endpoint_exchange::describe(const beast::error_code& error) const
{
    const auto reason = is_protocol_error(error) ? failure::garbled_answer : failure::connection_broken;
    return verdict::may_have_run(reason, core::to_string(this->target) + ": " + error.message());
}

std::unique_ptr<http_socket> endpoint_exchange::take_clean_connection()
{
    // A repeated answer without an id could not be distinguished from the next request's.
    if (!this->parser || !this->parser->is_done() || !this->parser->keep_alive() || !this->names_request ||
        this->failure.reason != failure::none || !this->socket->clean_and_open()) {
        return nullptr;
    }
    return std::move(this->socket);
}

} // namespace hibiscusfall::traffic::detail
