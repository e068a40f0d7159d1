#include "hibiscusfall/claims/claim_digest.hpp"

#include <sodium.h>

#include <array>
#include <cstring>
#include <span>

namespace hibiscusfall::claims
{

namespace
{

constexpr std::size_t digest_bytes = 16;

protocol::claim_digest from_bytes(std::span<const std::uint8_t, digest_bytes> bytes)
{
    protocol::claim_digest result;
    std::memcpy(&result.high, bytes.data(), sizeof(result.high));
    std::memcpy(&result.low, bytes.data() + sizeof(result.high), sizeof(result.low));
    return result;
}

} // namespace

protocol::claim_digest key_digest(const core::claim_request& request)
{
    // A team's name holds no zero byte, so no two pairs of team and key give the same text.
    const auto text = request.team.str() + '\0' + request.key;
    std::array<std::uint8_t, digest_bytes> bytes{};
    crypto_generichash(bytes.data(),
                       bytes.size(),
                       reinterpret_cast<const unsigned char*>(text.data()),
                       text.size(),
                       nullptr,
                       0);
    return from_bytes(bytes);
}

protocol::claim_digest content_digest(const core::claim_request& request)
{
    return from_bytes(request.body_digest);
}

protocol::claim_shard shard_of(const core::failure_domain_id& home, const protocol::claim_digest& key)
{
    return {.domain = home, .number = static_cast<std::uint32_t>(key.high % shards_per_domain)};
}

} // namespace hibiscusfall::claims
