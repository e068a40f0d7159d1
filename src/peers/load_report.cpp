#include "hibiscusfall/peers/load_report.hpp"

#include "exchange_limits.hpp"

#include <algorithm>
#include <chrono>

namespace hibiscusfall::peers
{

namespace
{

using std::chrono::milliseconds;

/// Upper bound of the time that a datagram is under way; live instances send every 100 ms.
constexpr core::duration max_datagram_delay = std::chrono::milliseconds{300};
constexpr std::size_t max_depth = 8; // a report nests five arrays

/// Times of causes are longer than the ages that other parts of a report state.
std::uint32_t to_cause_milliseconds(core::duration time)
{
    constexpr auto max_time = dispatch::max_hold + dispatch::cause_retention;
    return static_cast<std::uint32_t>(std::clamp(time, core::duration{0}, max_time) / milliseconds{1});
}

void apply_endpoint_totals(dispatch::fleet_state& book,
                           dispatch::peer_state& peer,
                           const endpoint_totals& totals,
                           core::instant now)
{
    const auto [position, added] = peer.endpoints.try_emplace(totals.endpoint);
    auto& last = position->second;
    auto* state = dispatch::find_endpoint(book, totals.endpoint);
    if (state != nullptr) {
        // The first report of a peer only sets the base of the differences: the endpoint has read what the
        // peer sent before.
        if (!added && totals.sent_tokens > last.sent) {
            dispatch::record_peer_dispatch(state->model, totals.sent_tokens - last.sent, now);
        }
        auto& running = state->model.peer_requests;
        running = running - std::min(running, last.running) + totals.running_requests;
        if (totals.slowness_percent > 0) {
            dispatch::record_peer_slowdown(state->pace, totals.slowness_percent / 100.0, now);
        }
    }
    last = {.sent = std::max(last.sent, totals.sent_tokens), .running = totals.running_requests};
}

void apply_team_totals(dispatch::fleet_state& book, dispatch::peer_state& peer, const team_totals& totals)
{
    const auto [position, added] =
        peer.teams.try_emplace(totals.team, totals.requested_tokens, totals.granted_tokens);
    auto& [asked, given] = position->second;
    if (!added) {
        if (totals.requested_tokens > asked) {
            dispatch::record_requested(book.shares, totals.team, totals.requested_tokens - asked);
        }
        if (totals.granted_tokens > given) {
            dispatch::record_granted(book.shares, totals.team, totals.granted_tokens - given);
        }
    }
    asked = totals.requested_tokens;
    given = totals.granted_tokens;
}

void apply_cold_report(dispatch::fleet_state& fleet,
                       std::string_view peer,
                       const cold_report& reported,
                       core::instant now)
{
    const auto* state = dispatch::find_endpoint(fleet, reported.endpoint);
    if (state == nullptr || !state->cold.limited()) {
        return;
    }
    if (reported.stated) {
        dispatch::record_peer_statement(
            fleet.cold, reported.endpoint, now + milliseconds{reported.cold_left_ms}, now);
    } else {
        dispatch::record_peer_failure(fleet.cold, peer, reported.endpoint, state->cold, now);
    }
}

void reset_peer(dispatch::fleet_state& book, dispatch::peer_state& peer)
{
    for (auto& [tag, totals] : peer.endpoints) {
        if (auto* state = dispatch::find_endpoint(book, tag)) {
            auto& running = state->model.peer_requests;
            running -= std::min(running, totals.running);
        }
    }
    peer = {};
}

} // namespace

msgpack::object_handle unpack_bounded(std::span<const char> bytes, std::size_t& offset)
{
    const auto max_length = bytes.size();
    const msgpack::unpack_limit limit{max_length, max_length, max_length, max_length, max_length, max_depth};
    return msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
}

cause_entry to_entry(const dispatch::crash_cause& cause, core::instant now)
{
    cause_entry entry{.traits = cause.traits,
                      .crashes = cause.crashes,
                      .age_ms = to_cause_milliseconds(core::elapsed(cause.last_crash, now)),
                      .hold_ms = to_cause_milliseconds(cause.hold)};
    if (cause.team) {
        entry.team.push_back(*cause.team);
    }
    if (cause.trial_sent != core::instant{}) {
        entry.trial_age_ms = to_cause_milliseconds(core::elapsed(cause.trial_sent, now));
    }
    return entry;
}

std::string encode(const load_report& report)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, report);
    return {buffer.data(), buffer.size()};
}

std::vector<load_report> decode_all(std::span<const char> datagram, bool& malformed)
{
    std::vector<load_report> reports;
    std::size_t offset = 0;
    malformed = false;
    try {
        while (offset < datagram.size()) {
            const auto handle = unpack_bounded(datagram, offset);
            auto report = handle.get().as<load_report>();
            if (report.format != report_format || report.instance.empty()) {
                malformed = true;
                break;
            }
            reports.push_back(std::move(report));
        }
    } catch (const msgpack::unpack_error&) {
        malformed = true;
    } catch (const msgpack::type_error&) {
        malformed = true;
    }
    return reports;
}

std::optional<load_report> decode(std::span<const char> bytes)
{
    bool malformed = false;
    auto reports = decode_all(bytes, malformed);
    if (malformed || reports.size() != 1) {
        return std::nullopt;
    }
    return std::move(reports.front());
}

std::vector<std::uint64_t>
apply(dispatch::crash_attribution& known, const crash_findings& findings, core::instant now)
{
    std::vector<std::uint64_t> exonerated;
    const auto add = [&](const std::vector<std::uint64_t>& more) {
        exonerated.insert(exonerated.end(), more.begin(), more.end());
    };
    for (const auto& each : findings.exonerated) {
        dispatch::record_exoneration(known, each.trait, now - milliseconds{each.age_ms});
    }
    for (const auto& each : findings.suspects) {
        dispatch::crash_suspect suspect{.endpoint = each.endpoint,
                                        .team = each.team,
                                        .traits = each.traits,
                                        .crashed_at = now - milliseconds{each.age_ms},
                                        .arrival = each.arrival};
        std::sort(suspect.traits.begin(), suspect.traits.end());
        suspect.traits.resize(std::min(suspect.traits.size(), dispatch::max_suspect_traits));
        add(dispatch::record_suspect(known, suspect, now));
    }
    for (const auto& each : findings.causes) {
        dispatch::crash_cause cause{
            .traits = each.traits,
            .crashes = each.crashes,
            .first_crash = now - milliseconds{each.age_ms},
            .last_crash = now - milliseconds{each.age_ms},
            .hold = std::min<core::duration>(milliseconds{each.hold_ms}, dispatch::max_hold)};
        if (!each.team.empty()) {
            cause.team = each.team.front();
        }
        if (each.trial_age_ms) {
            cause.trial_sent = now - milliseconds{*each.trial_age_ms};
        }
        std::sort(cause.traits.begin(), cause.traits.end());
        cause.traits.resize(std::min(cause.traits.size(), dispatch::max_suspect_traits));
        add(dispatch::record_cause(known, cause, now));
    }
    return exonerated;
}

bool apply(dispatch::fleet_state& book, const load_report& report, core::instant now)
{
    auto& peer = book.peers[report.instance];
    // A lower incarnation means a delayed datagram from before a restart, or a restart after the peer's clock
    // was set back. In the latter case the last report is older than any datagram still under way.
    const bool delayed =
        report.incarnation < peer.incarnation && now - peer.last_received < max_datagram_delay;
    const bool repeated = report.incarnation == peer.incarnation && report.sequence <= peer.sequence;
    if (delayed || repeated) {
        return false;
    }
    if (report.incarnation != peer.incarnation) {
        reset_peer(book, peer);
        peer.incarnation = report.incarnation;
    }
    peer.sequence = report.sequence;
    peer.last_received = now;
    peer.domain = core::failure_domain_id{report.domain};
    if (peer.domain != book.own_domain) {
        book.domain_last_received[peer.domain] = now;
    }
    for (const auto& totals : report.endpoints) {
        apply_endpoint_totals(book, peer, totals, now);
    }
    for (const auto& totals : report.teams) {
        apply_team_totals(book, peer, totals);
    }
    for (const auto endpoint : report.leaving_endpoints) {
        dispatch::record_departure(book.announced_departures, endpoint, now);
    }
    dispatch::record_instance(book.cold, report.instance, now);
    for (const auto& each : report.silent_instances) {
        if (!each.name.empty()) {
            dispatch::record_known_instance(book.cold, each.name, now - milliseconds{each.silent_ms});
        }
    }
    for (const auto& each : report.cold_endpoints) {
        apply_cold_report(book, report.instance, each, now);
    }
    for (const auto& part : report.prompt_parts) {
        if (const auto* state = dispatch::find_endpoint(book, part.endpoint)) {
            dispatch::record_segment(book.cached_prefixes,
                                     part.part,
                                     part.endpoint,
                                     state->model.sent_tokens,
                                     now,
                                     dispatch::expected_prefill_end(book, *state, now),
                                     state->memory_tokens);
        }
    }
    return true;
}

} // namespace hibiscusfall::peers
