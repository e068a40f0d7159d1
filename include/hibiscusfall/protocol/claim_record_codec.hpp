#pragma once

#include "hibiscusfall/protocol/claims_messages.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::protocol
{

/// @brief Writes the values that claims keep in the platform's store.
[[nodiscard]] std::string pack(const claim_record& value);
[[nodiscard]] std::string pack(const std::vector<claim_entry>& value);

/// @brief Reads what pack wrote; nothing when the bytes are anything else.
[[nodiscard]] std::optional<claim_record> unpack_record(std::string_view bytes);
[[nodiscard]] std::optional<std::vector<claim_entry>> unpack_entries(std::string_view bytes);

/// @brief The size of one entry on the wire, in bytes.
[[nodiscard]] std::size_t packed_size(const claim_entry& value);

} // namespace hibiscusfall::protocol
