#include "hibiscusfall/rpc/call_tag.hpp"

#include <sodium.h>

#include <cstdlib>
#include <vector>

namespace hibiscusfall
{
namespace rpc
{

namespace
{

constexpr std::size_t tag_bytes = 32;
constexpr std::size_t random_bytes = 12;

std::string to_hex(const std::vector<unsigned char>& bytes)
{
    std::string hex(2 * bytes.size() + 1, '\0');
    sodium_bin2hex(&hex[0], hex.size(), bytes.data(), bytes.size());
    hex.pop_back();
    return hex;
}

void add(crypto_generichash_state& state, const std::string& text)
{
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

} // namespace

std::string make_stamp(std::int64_t unix_milliseconds)
{
    std::vector<unsigned char> bytes(random_bytes);
    randombytes_buf(bytes.data(), bytes.size());
    return std::to_string(unix_milliseconds) + "-" + to_hex(bytes);
}

std::int64_t time_of(const std::string& stamp)
{
    constexpr int decimal = 10;
    char* end = nullptr;
    const auto time = std::strtoll(stamp.c_str(), &end, decimal);
    return end == stamp.c_str() || *end != '-' ? -1 : time;
}

std::string tag_of(const call_key& key, call_side side, const std::string& stamp, const std::string& body)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), tag_bytes);
    add(state, side == call_side::question ? "question\n" : "answer\n");
    add(state, stamp + "\n");
    add(state, body);
    std::vector<unsigned char> digest(tag_bytes);
    crypto_generichash_final(&state, digest.data(), digest.size());
    return to_hex(digest);
}

bool equal_tags(const std::string& left, const std::string& right)
{
    return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace rpc
} // namespace hibiscusfall
