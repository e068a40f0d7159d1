#include "standins/parts/completions.hpp"

#include "standins/parts/whole_reply.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <thread>

namespace hibiscusfall::standins
{

namespace
{

using nlohmann::json;

constexpr std::size_t echoed_bytes = 48;

/// One completion as the request asked for it.
struct completion {
    std::string request_id;
    std::string echo;
    int tokens = 0;
    int first = 0; ///< The first token to send; above 0 when a stream is resumed.
    double straggler = 1;
    bool streamed = false;
    misbehaviour fault = misbehaviour::none;
    std::chrono::milliseconds pause{}; ///< In the middle of the stream.
};

completion read_completion(const endpoint_standin& self, const http_request& request)
{
    const auto body = json::parse(request.body(), nullptr, false);
    completion result{.request_id = header_of(request, "X-Request-Id"), .echo = {}};
    result.tokens = self.default_tokens;
    if (body.is_object()) {
        result.tokens = body.value("max_tokens", self.default_tokens);
        result.streamed = body.value("stream", false);
        result.straggler = body.value("standin_slowdown", 1.0);
        if (body.contains("prompt") && body["prompt"].is_string()) {
            result.echo = body["prompt"].get<std::string>().substr(0, echoed_bytes);
        }
    }
    const auto last_seen = header_of(request, "Last-Event-ID");
    result.first = last_seen.empty() ? 0 : std::atoi(last_seen.c_str()) + 1;
    return result;
}

std::string token_text(int index)
{
    return "word" + std::to_string(index) + " ";
}

std::string token_event(const completion& wanted, int index)
{
    const json event{{"object", "text_completion"},
                     {"echo", wanted.echo},
                     {"choices", json::array({{{"index", 0}, {"text", token_text(index)}}})}};
    return "id: " + std::to_string(index) + "\ndata: " + event.dump() + "\n\n";
}

/// Waits in short steps, so that a cancelled or abandoned request ends soon.
/// @returns Whether the request is still wanted.
bool wait_wanted(const engine& model,
                 connection& client,
                 const std::string& request_id,
                 std::chrono::microseconds time)
{
    constexpr auto longest_step = std::chrono::milliseconds{50};
    const auto end = std::chrono::steady_clock::now() + time;
    while (true) {
        const auto left = end - std::chrono::steady_clock::now();
        if (left <= left.zero()) {
            return !model.is_cancelled(request_id) && !client.peer_closed();
        }
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(left, longest_step));
        if (model.is_cancelled(request_id) || client.peer_closed()) {
            return false;
        }
    }
}

bool stream_completion(const engine& model, connection& client, const completion& wanted)
{
    if (!client.begin_chunks("text/event-stream", {{"X-Request-Id", wanted.request_id}})) {
        return false;
    }
    for (int index = wanted.first; index < wanted.tokens; ++index) {
        const auto pause = index == wanted.first ? model.first_token(wanted.straggler)
                                                 : model.between_tokens(wanted.straggler);
        const bool pauses =
            wanted.fault == misbehaviour::pause && index == (wanted.first + wanted.tokens) / 2;
        if (!wait_wanted(model, client, wanted.request_id, pauses ? pause + wanted.pause : pause)) {
            return false;
        }
        if (index >= (wanted.first + wanted.tokens) / 2) {
            if (wanted.fault == misbehaviour::close_early) {
                return false;
            }
            if (wanted.fault == misbehaviour::garbled_chunk) {
                client.write("zz\r\nnot a chunk\r\n");
                return false;
            }
        }
        if (!client.write_chunk(token_event(wanted, index))) {
            return false;
        }
    }
    return client.write_chunk("data: [DONE]\n\n") && client.end_chunks();
}

bool answer_completion(const engine& model, connection& client, const completion& wanted)
{
    std::string text;
    for (int index = wanted.first; index < wanted.tokens; ++index) {
        const auto pause = index == wanted.first ? model.first_token(wanted.straggler)
                                                 : model.between_tokens(wanted.straggler);
        if (!wait_wanted(model, client, wanted.request_id, pause)) {
            return false;
        }
        text += token_text(index);
    }
    const json answer{{"object", "text_completion"},
                      {"echo", wanted.echo},
                      {"choices", json::array({{{"index", 0}, {"text", text}}})},
                      {"usage", {{"completion_tokens", wanted.tokens}}}};
    return reply_whole(client, answer.dump(), wanted.request_id, wanted.fault);
}

} // namespace

bool complete(endpoint_standin& self, connection& client, const http_request& request)
{
    auto wanted = read_completion(self, request);
    wanted.fault = self.faults.next();
    wanted.pause = std::chrono::milliseconds{self.faults.delay_ms()};
    if (wanted.fault == misbehaviour::refuse) {
        return refuse(client);
    }
    self.model.begin(wanted.request_id);
    if (wanted.fault == misbehaviour::late_answer) {
        std::this_thread::sleep_for(std::chrono::milliseconds{self.faults.delay_ms()});
    }
    const bool done = wanted.streamed && wanted.fault != misbehaviour::close_after_running
                          ? stream_completion(self.model, client, wanted)
                          : answer_completion(self.model, client, wanted);
    self.model.end(wanted.request_id);
    return done;
}

} // namespace hibiscusfall::standins
