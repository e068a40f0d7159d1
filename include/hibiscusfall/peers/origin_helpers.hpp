#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief A peer that may be asked to store origins of streams.
struct helper_candidate {
    std::string_view name;
    core::address address{};
    bool store_failing = false; ///< Whether its last call of the store failed, as far as it is known.
};

/// @brief The peer that stores origins for this instance.
struct origin_helpers {
    /// Time after which a peer that has confirmed nothing is replaced: two batches and a call of the store.
    static constexpr core::duration patience = std::chrono::milliseconds{350};
    /// Time for which a peer that confirmed nothing is not asked again.
    static constexpr core::duration exclusion_time = std::chrono::seconds{3};

    core::address current{};               ///< Not set while there is none.
    std::optional<core::instant> asked_at; ///< First request that the current peer has not confirmed.
    std::map<core::address, core::instant> excluded; ///< Peers, with the end of their exclusion.
};

/// @brief Chooses the peer to ask now, and records that it is asked.
/// @param candidates The live peers that do not leave.
/// @returns An address that is not set if all peers are excluded.
/// @remarks The same peer is asked as long as it confirms, so that it writes few batches. Different instances
/// choose different peers, as many of them may lose the store at once.
[[nodiscard]] core::address choose_helper(origin_helpers& helpers,
                                          std::string_view own_name,
                                          std::span<const helper_candidate> candidates,
                                          core::instant now);

/// @brief Records that a peer has confirmed origins.
void record_receipt(origin_helpers& helpers, const core::address& from);

} // namespace hibiscusfall::peers
