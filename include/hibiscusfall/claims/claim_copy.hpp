#pragma once

#include "hibiscusfall/claims/claim_table.hpp"
#include "hibiscusfall/claims/effects.hpp"

#include <cstdint>

namespace hibiscusfall::claims
{

/// @brief This instance's copy of one shard's claims, with or without authority over it.
struct claim_copy {
    protocol::claim_shard shard;
    claim_table table;
    std::uint64_t promised = 0; ///< Highest term accepted; appends of a lower one are refused.
    std::uint64_t position = 0; ///< Complete up to this version.
    std::uint64_t scan = 0;
    std::uint64_t cursor = 0;
    protocol::claim_member keeper; ///< Who sent under the promised term; empty when nobody has.
    core::instant keeper_heard{};
};

/// @brief Takes a part of the keeper's claims, unless a higher term was promised or a part before it is
/// missing.
void on_append(claim_copy& copy,
               const protocol::sender& from,
               const protocol::claim_append& message,
               core::instant now,
               effects& out);

/// @brief Promises to refuse lower terms and answers with one page of the copy.
void on_promise_ask(claim_copy& copy,
                    const protocol::sender& from,
                    const protocol::claim_promise_ask& message,
                    core::instant now,
                    effects& out);

} // namespace hibiscusfall::claims
