#include "hibiscusfall/dispatch/prefix_transfer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace hibiscusfall::dispatch
{

namespace
{

/// Copying a token takes at most this part of the time to process it.
constexpr double max_transfer_fraction = 0.05;
/// Tokens that a copy has to save: its set-up takes about as long as processing them.
constexpr std::uint32_t min_transferred_tokens = 256;
constexpr core::duration transfer_setup = std::chrono::milliseconds{3};
/// Sources among which is chosen.
constexpr std::size_t max_sources = 16;

/// Tokens from the start of the prompt that an engine has processed by now.
std::uint32_t ready_tokens(const endpoint_state& engine,
                           std::span<const resolved_segment> segments,
                           std::uint32_t prompt_tokens,
                           core::instant now)
{
    std::uint64_t tokens = 0; // callers may state more than 32 bits hold
    for (const auto& segment : segments) {
        const auto* holders = segment.holders;
        const bool ready = holders != nullptr &&
                           std::any_of(holders->begin(), holders->end(), [&](const segment_holder& each) {
                               return each.endpoint == engine.tag && each.ready_at <= now &&
                                      (engine.memory_tokens == 0 ||
                                       engine.model.sent_tokens - each.sent_tokens < engine.memory_tokens);
                           });
        if (!ready) {
            break;
        }
        tokens += segment.tokens;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, prompt_tokens));
}

/// Order in which engines prefer sources of the same length.
std::uint64_t preference(endpoint_tag target, endpoint_tag source)
{
    const std::array<endpoint_tag, 2> pair{target, source};
    return XXH64(pair.data(), sizeof pair, 0);
}

} // namespace

double transfer_ms_per_token(const catalog::engine_properties& properties) noexcept
{
    if (properties.kv_bytes_per_token == 0 || properties.link_mbps <= 0) {
        return 0;
    }
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_ms_and_mbps = 1000;
    const double copy = bits_per_byte * static_cast<double>(properties.kv_bytes_per_token) /
                        (properties.link_mbps * bits_per_ms_and_mbps);
    return copy * default_prefill_tokens_per_ms <= max_transfer_fraction ? copy : 0;
}

bool is_usable_source(const fleet_state& fleet, const endpoint_state& engine, core::instant now)
{
    return accepts_requests(fleet, engine, now) && !is_suspended(engine.health, now) &&
           !is_cold(fleet.cold, engine.tag, now) && is_reachable(fleet, engine.entry.domain, now);
}

std::vector<prefix_source> find_prefix_sources(const fleet_state& fleet,
                                               const placement_request& request,
                                               std::span<const resolved_segment> segments,
                                               core::instant now)
{
    std::vector<prefix_source> sources;
    if (request.generation == nullptr) {
        return sources;
    }
    const auto add = [&](endpoint_tag holder) {
        const auto index = fleet.endpoint_index.find(holder);
        const auto is_holder = [holder](const prefix_source& each) { return each.endpoint == holder; };
        if (index == fleet.endpoint_index.end() || std::any_of(sources.begin(), sources.end(), is_holder) ||
            std::find(request.excluded.begin(), request.excluded.end(), holder) != request.excluded.end()) {
            return;
        }
        const auto& engine = fleet.endpoints[index->second];
        if (engine.entry.service != request.service || !is_usable_source(fleet, engine, now) ||
            !is_permitted(fleet, engine.entry.domain, request)) {
            return;
        }
        const auto tokens = ready_tokens(engine, segments, request.generation->prompt_tokens, now);
        if (tokens >= min_transferred_tokens) {
            sources.push_back({.endpoint = holder,
                               .tokens = tokens,
                               .domain = &engine.entry.domain,
                               .software_version = engine.software_version});
        }
    };
    // Holders of the deepest segment come first, as they may have the longest prefix. They need not: a holder
    // of a deep segment may have evicted one before it.
    for (auto depth = segments.size(); depth > 0; --depth) {
        const auto* holders = segments[depth - 1].holders;
        const auto count = holders == nullptr ? 0 : holders->size();
        for (std::size_t i = 0; i < count && sources.size() < max_sources * (segments.size() - depth + 1);
             ++i) {
            add((*holders)[(request.hash + i) % count].endpoint);
        }
    }
    std::sort(sources.begin(), sources.end(), [](const prefix_source& a, const prefix_source& b) {
        return a.tokens > b.tokens;
    });
    return sources;
}

std::optional<prefix_source> choose_prefix_source(std::span<const prefix_source> sources,
                                                  const endpoint_state& target,
                                                  std::uint32_t cached_tokens) noexcept
{
    const prefix_source* best = nullptr;
    const auto rank = [&target](const prefix_source& source) {
        const bool near = source.domain != nullptr && *source.domain == target.entry.domain;
        return std::tuple{source.tokens, near, preference(target.tag, source.endpoint)};
    };
    for (const auto& each : sources) {
        const bool fits = each.endpoint != target.tag && each.software_version == target.software_version;
        if (fits && (best == nullptr || rank(each) > rank(*best))) {
            best = &each;
        }
    }
    if (best == nullptr || best->tokens <= cached_tokens ||
        best->tokens - cached_tokens < min_transferred_tokens) {
        return std::nullopt;
    }
    return *best;
}

core::duration transfer_time(const endpoint_state& target, std::uint32_t tokens) noexcept
{
    constexpr double microseconds_per_ms = 1000;
    return transfer_setup + core::duration{static_cast<core::duration::rep>(target.transfer_ms_per_token *
                                                                            tokens * microseconds_per_ms)};
}

} // namespace hibiscusfall::dispatch
