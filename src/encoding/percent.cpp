#include "hibiscusfall/encoding/percent.hpp"

#include <charconv>

namespace hibiscusfall::encoding
{

namespace
{

constexpr std::string_view unencoded = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
constexpr int hexadecimal = 16;

} // namespace

std::string to_percent(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    result.reserve(text.size());
    for (const char character : text) {
        if (unencoded.find(character) != std::string_view::npos) {
            result += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        result += {'%', digits[byte / hexadecimal], digits[byte % hexadecimal]};
    }
    return result;
}

std::optional<std::string> from_percent(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        const auto digits = text.substr(i + 1, 2);
        unsigned char byte = 0;
        const auto [end, error] =
            std::from_chars(digits.data(), digits.data() + digits.size(), byte, hexadecimal);
        if (digits.size() != 2 || error != std::errc{} || end != digits.data() + digits.size()) {
            return std::nullopt;
        }
        result += static_cast<char>(byte);
        i += 2;
    }
    return result;
}

} // namespace hibiscusfall::encoding
