#pragma once

#include "hibiscusfall/configuration/document.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::configuration
{

/// @brief Writes what changed from one document to a later one, as JSON.
/// @remarks Its size follows the changes, not the document.
[[nodiscard]] std::string write_delta(const document& older, const document& newer);

/// @brief Applies what write_delta wrote to the document that it started from.
/// @returns The later document; nothing when the delta starts from another revision, leads to no higher
/// one or cannot be read.
/// @param reason Receives why.
[[nodiscard]] std::optional<document>
apply_delta(const document& older, std::string_view delta, std::string& reason);

} // namespace hibiscusfall::configuration
