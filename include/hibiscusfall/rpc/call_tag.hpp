#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace hibiscusfall
{
namespace rpc
{

/// @brief The key that all instances of a fleet share for their calls.
using call_key = std::array<unsigned char, 32>;

/// @brief Whether a tag belongs to a question or to its answer.
enum class call_side : std::uint8_t { question, answer };

/// @brief The HTTP header that carries the stamp and the tag of a question, and the tag of an answer.
constexpr const char* tag_header = "Hibiscusfall-Tag";

/// @brief Names one call: the time in milliseconds since 1970, and random digits.
std::string make_stamp(std::int64_t unix_milliseconds);

/// @brief The time in a stamp, in milliseconds since 1970; -1 when there is none.
std::int64_t time_of(const std::string& stamp);

/// @brief The hex digest of a side, a stamp and a body, under the key (BLAKE2b of 32 bytes). The body holds
/// the method, so that the digest covers it.
std::string tag_of(const call_key& key, call_side side, const std::string& stamp, const std::string& body);

/// @brief Compares two tags in a time that tells nothing of where they differ.
bool equal_tags(const std::string& left, const std::string& right);

} // namespace rpc
} // namespace hibiscusfall
