#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief What decides whether an instance is among those that read the store.
struct reader_candidate {
    std::string_view name;
    core::instant heard{};
    bool store_troubled = false;
    bool leaving = false;
};

/// @brief Instances that read the store at a time, whatever the size of the fleet: a second one, as the loss
/// of the first is noticed only after @c reader_silence.
inline constexpr std::uint32_t readers = 2;

/// @brief Silence after which another instance takes over the reading. Instances send every 100 ms.
inline constexpr core::duration reader_silence = std::chrono::milliseconds{600};

/// @brief Time from an instance's start to its first choice: others that live answer within 100 ms. When all
/// start at once nobody has a configuration, and callers are refused until the first reader has it.
inline constexpr core::duration first_choice = std::chrono::milliseconds{250};

/// @brief Whether an instance should read the store itself.
/// @param others The instances that it knows.
/// @remarks Answers a store that prices each call: its calls do not grow with the fleet. Views differ while
/// instances come and go; then a few more read, or an instance that is cut off reads for itself.
[[nodiscard]] bool
reads_store(std::string_view own_name, std::span<const reader_candidate> others, core::instant now);

} // namespace hibiscusfall::peers
