#pragma once

#include <boost/beast/core/string.hpp>

#include <string_view>

namespace hibiscusfall::traffic
{

/// @brief A text of Beast as a standard one.
[[nodiscard]] inline std::string_view to_view(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/// @brief A standard text as one of Beast.
[[nodiscard]] inline boost::beast::string_view to_beast(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

} // namespace hibiscusfall::traffic
