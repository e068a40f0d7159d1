#pragma once

#include <algorithm>
#include <cctype>
#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscusfall::core
{

inline constexpr std::size_t max_name_bytes = 64;

/// @brief Whether a text consists of 1 to @c max_name_bytes letters, digits, '-' or '_'.
[[nodiscard]] inline bool is_valid_name(std::string_view text)
{
    const auto allowed = [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
               character == '_';
    };
    return !text.empty() && text.size() <= max_name_bytes && std::all_of(text.begin(), text.end(), allowed);
}

/// @brief A strongly typed string identifier; identifiers of different kinds cannot be mixed up.
/// @tparam tag An incomplete type that distinguishes the kinds.
///
/// @code
/// const team_id team{"huts"};
/// log("team", team.view());
/// @endcode
template <class tag>
class text_id
{
public:
    /// @name Construction
    text_id() = default;
    explicit text_id(std::string value) : text(std::move(value)) {}
    explicit text_id(std::string_view value) : text(value) {}
    explicit text_id(const char* value) : text(value) {}

    /// @name Access
    [[nodiscard]] std::string_view view() const noexcept { return this->text; }
    [[nodiscard]] const std::string& str() const noexcept { return this->text; }
    [[nodiscard]] bool empty() const noexcept { return this->text.empty(); }
    [[nodiscard]] explicit operator bool() const noexcept { return !this->text.empty(); }

    /// @name Comparison
    [[nodiscard]] friend bool operator==(const text_id&, const text_id&) = default;
    [[nodiscard]] friend auto operator<=>(const text_id&, const text_id&) = default;

private:
    std::string text;
};

} // namespace hibiscusfall::core

template <class tag>
struct std::hash<hibiscusfall::core::text_id<tag>> {
    std::size_t operator()(const hibiscusfall::core::text_id<tag>& id) const noexcept
    {
        return std::hash<std::string_view>{}(id.view());
    }
};
