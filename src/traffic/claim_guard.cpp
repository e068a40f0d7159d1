#include "claim_guard.hpp"

#include <sodium.h>

#include <array>
#include <utility>

namespace hibiscusfall::traffic::detail
{

namespace
{

using body_digest = std::array<std::uint8_t, 16>;

/// Digest of method, path and body, each with its length.
body_digest digest_of(const caller_request& request)
{
    crypto_generichash_state state{};
    body_digest result{};
    crypto_generichash_init(&state, nullptr, 0, result.size());
    const auto add = [&state](std::string_view text) {
        const std::uint64_t length = text.size();
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&length), sizeof length);
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
    };
    add(to_view(request.method_string()));
    add(to_view(request.target()));
    add(request.body());
    crypto_generichash_final(&state, result.data(), result.size());
    return result;
}

} // namespace

claim_guard::~claim_guard()
{
    const auto reason = core::failure::internal;
    this->settle(this->context.may_have_run
                     ? core::verdict::may_have_run(reason, "the request ended without an outcome")
                     : core::verdict::not_run(reason, "the request ended before it was sent"));
}

core::claim_decision claim_guard::claim()
{
    const auto& ports = this->context.state.ports;
    if (this->context.plan.key.empty() || !ports.claim) {
        return core::claim_granted{};
    }
    auto decision = ports.claim({.team = this->context.team->id,
                                 .home = this->context.team->home_domain,
                                 .key = this->context.plan.key,
                                 .body_digest = digest_of(this->context.request),
                                 .deadline = this->context.deadline});
    if (const auto* granted = std::get_if<core::claim_granted>(&decision)) {
        this->number = granted->claim;
        this->open = true;
        this->context.claimed = true;
    }
    return decision;
}

void claim_guard::settle(const core::verdict& outcome)
{
    if (!std::exchange(this->open, false)) {
        return;
    }
    auto& kept = this->context.kept;
    const bool has_answer = kept.status != 0 && outcome.state != core::run_state::not_run;
    core::claim_outcome settled{.result = outcome};
    if (has_answer) {
        settled.status = kept.status;
        settled.content_type = kept.content_type;
        settled.body_kept = kept.complete;
        settled.body = settled.body_kept ? kept.body : std::string{};
    }
    this->context.state.ports.settle(this->number, settled);
}

} // namespace hibiscusfall::traffic::detail
