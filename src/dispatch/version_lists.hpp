#pragma once

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusfall::dispatch::detail
{

/// @brief Whether a list of versions has the version.
[[nodiscard]] inline bool contains(std::span<const std::string> versions, std::string_view version)
{
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

/// @brief Whether a list of versions has all of the others.
[[nodiscard]] inline bool has_all(std::span<const std::string> versions, std::span<const std::string> others)
{
    return std::all_of(
        others.begin(), others.end(), [&](const auto& other) { return contains(versions, other); });
}

} // namespace hibiscusfall::dispatch::detail
