#include "standins/parts/plain_runs.hpp"

#include "standins/parts/whole_reply.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <thread>

namespace hibiscusfall::standins
{

using nlohmann::json;

bool run_plain(endpoint_standin& self, connection& client, const http_request& request)
{
    const auto fault = self.faults.next();
    if (fault == misbehaviour::refuse) {
        return refuse(client);
    }
    const auto id = header_of(request, "X-Request-Id");
    const auto body = json::parse(request.body(), nullptr, false);
    auto key = header_of(request, "Idempotency-Key");
    if (key.empty() && body.is_object()) {
        key = body.value("key", "");
    }
    const double straggler = body.is_object() ? body.value("standin_slowdown", 1.0) : 1.0;
    self.runs.add(key, id);
    self.model.begin(id);
    std::this_thread::sleep_for(
        std::chrono::microseconds{static_cast<std::int64_t>(self.run_ms * 1000 * straggler)});
    if (fault == misbehaviour::late_answer) {
        std::this_thread::sleep_for(std::chrono::milliseconds{self.faults.delay_ms()});
    }
    self.model.end(id);
    return reply_whole(client, json{{"done", id}, {"key", key}}.dump(), id, fault);
}

} // namespace hibiscusfall::standins
