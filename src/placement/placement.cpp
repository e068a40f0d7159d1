#include "hibiscusfall/placement/placement.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscusfall::placement
{

namespace
{

/// Until when an order may be sent to an endpoint; nothing when it may not be sent at all now.
std::optional<core::instant>
order_window(const placement& state, const endpoint_state& target, core::instant now)
{
    if (!state.lease || now >= state.lease->until) {
        return std::nullopt;
    }
    if (target.checks_fencing) {
        return state.lease->until;
    }
    const auto last = state.lease->until - state.options.stop_margin;
    const bool waited = now >= state.lease->acquired + state.options.grace;
    return waited && now < last ? std::optional{last} : std::nullopt;
}

template <class list>
auto find_task(list& tasks, const order_subject& subject) -> decltype(tasks.data())
{
    const auto found = std::find_if(
        tasks.begin(), tasks.end(), [&](const order_task& task) { return task.subject == subject; });
    return found == tasks.end() ? nullptr : &*found;
}

bool is_ready(const endpoint_state& target)
{
    return std::all_of(
        target.tasks.begin(), target.tasks.end(), [](const order_task& task) { return task.ready; });
}

/// Ready and all endpoints of each service, so that the one with the smallest ready part comes first.
std::map<core::service_id, std::pair<std::size_t, std::size_t>> count_ready(const placement& state)
{
    std::map<core::service_id, std::pair<std::size_t, std::size_t>> counts;
    for (const auto& [id, endpoint] : state.endpoints) {
        auto& [ready, all] = counts[endpoint.service];
        ready += is_ready(endpoint) ? 1U : 0U;
        ++all;
    }
    return counts;
}

/// The next task of an endpoint that is due: one that is not ready before one to be confirmed.
const order_task* next_task(const endpoint_state& target, core::instant now)
{
    const order_task* best = nullptr;
    for (const auto& task : target.tasks) {
        if (now >= task.due && (best == nullptr || (best->ready && !task.ready))) {
            best = &task;
        }
    }
    return best;
}

void choose_order(placement& state, core::instant now, placement_effects& out)
{
    if (state.options.loads_per_minute == 0 || state.ordering || now < state.next_load) {
        return;
    }
    const auto counts = count_ready(state);
    std::optional<std::tuple<bool, double, core::endpoint_id>> best;
    const order_task* chosen = nullptr;
    for (const auto& [id, endpoint] : state.endpoints) {
        const auto* task = next_task(endpoint, now);
        if (endpoint.draining || task == nullptr || !order_window(state, endpoint, now)) {
            continue;
        }
        const auto& [ready, all] = counts.at(endpoint.service);
        std::tuple rank{task->ready, static_cast<double>(ready) / static_cast<double>(all), id};
        if (!best || rank < *best) {
            best = std::move(rank);
            chosen = task;
        }
    }
    if (!best) {
        return;
    }
    const auto& id = std::get<core::endpoint_id>(*best);
    const auto& target = state.endpoints.at(id);
    state.ordering = pending_order{
        .endpoint = id, .subject = chosen->subject, .due = now + state.options.order_timeout * 2};
    state.next_load = now + core::duration{std::chrono::minutes{1}} / state.options.loads_per_minute;
    out.give = order{.endpoint = id,
                     .to = target.address,
                     .subject = chosen->subject,
                     .fencing = state.lease->fencing,
                     .valid_until = *order_window(state, target, now)};
}

/// What is to be ordered at an endpoint; what is known already stays where it is the same.
std::vector<order_task> make_tasks(const configuration::endpoint& declared, const endpoint_state* known)
{
    std::vector<order_task> tasks;
    const auto add = [&](order_kind kind, std::string_view name) {
        tasks.push_back({.subject = {.kind = kind, .name = std::string{name}}});
    };
    if (declared.role) {
        add(order_kind::role, to_string(*declared.role));
    }
    add(order_kind::load, declared.service.view());
    for (const auto& model : declared.models) {
        add(order_kind::load, model.view());
    }
    for (auto& task : tasks) {
        if (auto* found = known == nullptr ? nullptr : find_task(known->tasks, task.subject)) {
            task = *found;
        }
    }
    return tasks;
}

void lose_lease(placement& state, core::instant now)
{
    state.lease.reset();
    state.next_call = now + state.options.acquire_interval;
}

void call_store(placement& state, core::instant now, placement_effects& out)
{
    if (state.calling_store || !state.candidate || now < state.next_call) {
        return;
    }
    state.calling_store = true;
    (state.lease ? out.renew : out.acquire) = true;
}

} // namespace

void set_lease_length(placement_options& options, core::duration length)
{
    options.lease_length = length;
    options.renew_interval = length / 5;
    options.acquire_interval = length * 3 / 10;
    options.stop_margin = length * 2 / 5;
    options.grace = length / 2;
}

void on_candidate(placement& state, bool candidate, placement_effects& out)
{
    state.candidate = candidate;
    if (!candidate && state.lease) {
        state.lease.reset();
        out.release = true;
    }
}

void on_configuration(placement& state, const configuration::document& document)
{
    std::map<core::endpoint_id, endpoint_state> next;
    for (const auto& [id, endpoint] : document.endpoints) {
        const auto* service = document.find(endpoint.service);
        if (endpoint.domain != state.options.domain || service == nullptr ||
            service->kind != configuration::service_kind::model) {
            continue;
        }
        const auto found = state.endpoints.find(id);
        const bool same = found != state.endpoints.end() && found->second.address == endpoint.address;
        next.emplace(id,
                     endpoint_state{.service = endpoint.service,
                                    .address = endpoint.address,
                                    .checks_fencing = endpoint.checks_fencing,
                                    .draining = endpoint.draining || service->draining,
                                    .tasks = make_tasks(endpoint, same ? &found->second : nullptr)});
    }
    state.endpoints = std::move(next);
}

void on_acquired(placement& state, std::uint64_t fencing, core::instant asked, core::instant now)
{
    state.calling_store = false;
    state.lease =
        held_lease{.fencing = fencing, .acquired = now, .until = asked + state.options.lease_length};
    state.next_call = asked + state.options.renew_interval;
    state.ordering.reset();
    for (auto& [id, endpoint] : state.endpoints) {
        for (auto& task : endpoint.tasks) {
            task = {.subject = std::move(task.subject)}; // Earlier holders' orders are not known here.
        }
    }
}

void on_acquire_failed(placement& state, core::instant now)
{
    state.calling_store = false;
    state.next_call = now + state.options.acquire_interval;
}

void on_renewed(placement& state, std::optional<bool> held, core::instant asked, core::instant now)
{
    state.calling_store = false;
    state.next_call = now + state.options.renew_interval;
    if (!state.lease) {
        return;
    }
    if (held.has_value() && !*held) {
        lose_lease(state, now);
    } else if (held.has_value()) {
        state.lease->until = std::max(state.lease->until, asked + state.options.lease_length);
    }
}

void on_order_ended(placement& state,
                    const core::endpoint_id& endpoint,
                    std::uint64_t fencing,
                    order_outcome outcome,
                    core::instant now,
                    placement_effects& out)
{
    if (!state.lease || state.lease->fencing != fencing || !state.ordering ||
        state.ordering->endpoint != endpoint) {
        return;
    }
    const auto subject = std::move(state.ordering->subject);
    state.ordering.reset();
    if (outcome == order_outcome::stale) {
        lose_lease(state, now);
        out.release = true;
        return;
    }
    const auto found = state.endpoints.find(endpoint);
    auto* task = found == state.endpoints.end() ? nullptr : find_task(found->second.tasks, subject);
    if (task == nullptr) {
        return; // It was changed meanwhile.
    }
    task->ready = outcome == order_outcome::done;
    task->retry = task->ready
                      ? core::duration{}
                      : std::clamp(task->retry * 2, state.options.first_retry, state.options.longest_retry);
    task->due = now + (task->ready ? state.options.confirm_again : task->retry);
}

void on_tick(placement& state, core::instant now, placement_effects& out)
{
    if (state.lease && now >= state.lease->until) {
        lose_lease(state, now);
    }
    if (state.ordering && now >= state.ordering->due) {
        const auto endpoint = state.ordering->endpoint;
        const auto fencing = state.lease ? state.lease->fencing : 0;
        on_order_ended(state, endpoint, fencing, order_outcome::lost, now, out);
        state.ordering.reset();
    }
    call_store(state, now, out);
    choose_order(state, now, out);
}

} // namespace hibiscusfall::placement
