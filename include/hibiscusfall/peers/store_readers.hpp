#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief State of an instance that decides whether it is one of those that read the store.
struct reader_candidate {
    std::string_view name;
    core::instant last_heard{};
    bool store_failing = false;
    bool leaving = false;
    bool earlier_era = false; ///< Whether its catalog is of an earlier era of the store than the own one.
};

/// @brief Number of instances that read the store, independent of the fleet's size: two, as the loss of one
/// is detected only after @c reader_timeout.
inline constexpr std::uint32_t reader_count = 2;

/// @brief Time without a report after which another instance replaces a reader. Instances send every 100 ms.
inline constexpr core::duration reader_timeout = std::chrono::milliseconds{600};

/// @brief Time from the start of an instance to its first selection of readers: live instances answer within
/// 100 ms. When all instances start at once, none has a configuration, and requests are refused until the
/// first reader has it.
inline constexpr core::duration first_selection_delay = std::chrono::milliseconds{250};

/// @brief Whether an instance should read the store itself.
/// @param others The other instances that it knows.
/// @remarks Keeps the number of store calls independent of the fleet's size, as stores charge per call. While
/// instances join and leave, views differ and some more instances may read; an instance cut off from the
/// others reads for itself. An instance in an earlier era, or of a version that knows none, is not counted as
/// a reader: its catalog is not taken.
[[nodiscard]] bool
should_read_store(std::string_view own_name, std::span<const reader_candidate> others, core::instant now);

} // namespace hibiscusfall::peers
