#include "standins/parts/endpoint_control.hpp"

#include <string>

namespace hibiscusfall::standins
{

using nlohmann::json;

namespace
{

json list_orders(const engine& model)
{
    json list = json::array();
    for (const auto& order : model.orders()) {
        list.push_back({{"order", order.order},
                        {order.order == "role" ? "role" : "model", order.subject},
                        {"fencing", order.fencing},
                        {"accepted", order.accepted},
                        {"unix_ms", order.unix_ms}});
    }
    return list;
}

json list_runs(const run_record& runs)
{
    const auto all = runs.all();
    return {{"by_key", all.by_key}, {"by_request", all.by_request}, {"total", all.total}};
}

} // namespace

bool control(endpoint_standin& self, connection& client, const json& order)
{
    if (!order.is_object()) {
        return client.reply(400, R"({"error":"the body is no JSON object"})");
    }
    if (order.contains("slowdown")) {
        self.model.set_slowdown(order["slowdown"].get<double>());
    }
    if (order.contains("misbehave")) {
        const auto kind = parse_misbehaviour(order["misbehave"].get<std::string>());
        if (!kind) {
            return client.reply(400, R"({"error":"unknown misbehaviour"})");
        }
        self.faults.set(*kind, order.value("count", -1), order.value("every", 1), order.value("late_ms", 0));
    }
    return client.reply(200, R"({"done":true})");
}

bool take_order(endpoint_standin& self, connection& client, const json& order)
{
    if (!order.is_object()) {
        return client.reply(400, R"({"error":"the body is no JSON object"})");
    }
    const auto kind = order.value("order", "");
    const auto taken = self.model.take_order(
        kind, order.value(kind == "role" ? "role" : "model", ""), order.value("fencing", std::uint64_t{0}));
    return taken.accepted ? client.reply(200, R"({"outcome":"accepted"})")
                          : client.reply(409, R"({"outcome":"refused","reason":"old fencing number"})");
}

bool answer_query(endpoint_standin& self, connection& client, std::string_view target)
{
    if (target == "/runs") {
        return client.reply(200, list_runs(self.runs).dump());
    }
    if (target == "/load") {
        return client.reply(200, json{{"running", self.model.reported_running()}}.dump());
    }
    if (target == "/orders") {
        return client.reply(200, json{{"orders", list_orders(self.model)}}.dump());
    }
    if (target == "/models") {
        return client.reply(200, json{{"models", self.model.models()}, {"role", self.model.role()}}.dump());
    }
    return client.reply(404, R"({"error":"not found"})");
}

} // namespace hibiscusfall::standins
