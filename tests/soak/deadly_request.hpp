#pragma once

#include "soak_fleet.hpp"

#include <atomic>
#include <cstdint>
#include <string>

namespace hibiscusfall::soak
{

/// @brief A request that crashes each endpoint that begins to run it.
struct deadly_request {
    request_kind kind = request_kind::idempotent;
    std::string team;
    std::string target; ///< Contains @c deadly_mark.
};

/// @brief Sends a request again and again, with a new id and through any instance, until told to stop.
void call_with(soak_fleet& fleet,
               ledger& records,
               const deadly_request& request,
               std::uint64_t seed,
               const std::atomic<bool>& stop);

} // namespace hibiscusfall::soak
