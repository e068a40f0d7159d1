#include "hibiscusfall/peers/load_report.hpp"

#include <algorithm>

namespace hibiscusfall::peers
{

namespace
{

/// No datagram arrives this long after it was sent; instances that live send every 100 ms.
constexpr core::duration datagram_life = std::chrono::milliseconds{300};
constexpr std::size_t deepest = 8; // nested arrays of a report: three

void take_endpoint(dispatch::fleet_book& book,
                   dispatch::peer_state& peer,
                   const endpoint_totals& report,
                   core::instant now)
{
    const auto [place, added] = peer.endpoints.try_emplace(report.endpoint);
    auto& known = place->second;
    auto* state = dispatch::find(book, report.endpoint);
    if (state != nullptr) {
        // What a peer sent before it was first heard of has been read by now.
        if (!added && report.sent_tokens > known.sent) {
            dispatch::note_sent_elsewhere(state->model, report.sent_tokens - known.sent, now);
        }
        auto& running = state->model.others_running;
        running = running - std::min(running, known.running) + report.running_requests;
        if (report.slowness_percent > 0) {
            dispatch::note_slowness_elsewhere(state->pace, report.slowness_percent / 100.0, now);
        }
    }
    known = {.sent = std::max(known.sent, report.sent_tokens), .running = report.running_requests};
}

void take_team(dispatch::fleet_book& book, dispatch::peer_state& peer, const team_totals& report)
{
    const auto [place, added] =
        peer.teams.try_emplace(report.team, report.requested_tokens, report.granted_tokens);
    auto& [asked, given] = place->second;
    if (!added) {
        if (report.requested_tokens > asked) {
            dispatch::note_asked(book.shares, report.team, report.requested_tokens - asked);
        }
        if (report.granted_tokens > given) {
            dispatch::note_given(book.shares, report.team, report.granted_tokens - given);
        }
    }
    asked = report.requested_tokens;
    given = report.granted_tokens;
}

void start_anew(dispatch::fleet_book& book, dispatch::peer_state& peer)
{
    for (auto& [tag, totals] : peer.endpoints) {
        if (auto* state = dispatch::find(book, tag)) {
            auto& running = state->model.others_running;
            running -= std::min(running, totals.running);
        }
    }
    peer = {};
}

} // namespace

msgpack::object_handle unpack_bounded(std::span<const char> bytes, std::size_t& offset)
{
    const auto most = bytes.size();
    const msgpack::unpack_limit limit{most, most, most, most, most, deepest};
    return msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
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

bool apply(dispatch::fleet_book& book, const load_report& report, core::instant now)
{
    auto& peer = book.peers[report.instance];
    // A lower incarnation is a late datagram of an earlier life, or a new life whose clock was set back: then
    // the last report is older than any datagram on its way.
    const bool late = report.incarnation < peer.incarnation && now - peer.heard < datagram_life;
    const bool known = report.incarnation == peer.incarnation && report.sequence <= peer.sequence;
    if (late || known) {
        return false;
    }
    if (report.incarnation != peer.incarnation) {
        start_anew(book, peer);
        peer.incarnation = report.incarnation;
    }
    peer.sequence = report.sequence;
    peer.heard = now;
    peer.domain = core::failure_domain_id{report.domain};
    if (peer.domain != book.own_domain) {
        book.domain_heard[peer.domain] = now;
    }
    for (const auto& told : report.endpoints) {
        take_endpoint(book, peer, told, now);
    }
    for (const auto& told : report.teams) {
        take_team(book, peer, told);
    }
    for (const auto endpoint : report.leaving_endpoints) {
        dispatch::note_departure(book.leaving, endpoint, now);
    }
    for (const auto& part : report.prompt_parts) {
        if (const auto* state = dispatch::find(book, part.endpoint)) {
            dispatch::note_part(book.parts, part.part, part.endpoint, state->model.sent_total, now);
        }
    }
    return true;
}

} // namespace hibiscusfall::peers
