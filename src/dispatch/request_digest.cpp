#include "hibiscusfall/dispatch/request_digest.hpp"

#include <xxhash.h>

#include <array>

namespace hibiscusfall::dispatch
{

std::uint64_t digest_of(const request_identity& request) noexcept
{
    // Each field is hashed by itself, so that bytes that move from one field to the next change the digest.
    std::uint64_t digest = request.team;
    for (const auto field :
         std::array{request.service, request.method, request.host, request.target, request.body}) {
        digest = XXH64(field.data(), field.size(), digest);
    }
    return digest;
}

} // namespace hibiscusfall::dispatch
