#pragma once

#include "candidate.hpp"

namespace hibiscusfall::traffic::detail
{

/// @brief Relays an event stream piece by piece, whole events only. A stream that breaks is resumed at its
/// engine after the last event that the caller got.
/// @returns Ran after the whole stream, otherwise why it ended; context.relayed says whether the caller has
/// got any of it.
[[nodiscard]] core::verdict relay_stream(relay_context& context, candidate& source);

/// @brief Reads a whole answer, then passes it on; the caller gets nothing before the end.
/// @returns Ran when the whole answer was read, also when the caller could not be reached any more.
[[nodiscard]] core::verdict relay_whole(relay_context& context, candidate& source);

/// @brief What a slot is settled with.
[[nodiscard]] core::slot_usage
make_usage(const relay_context& context, const candidate& source, bool answered, core::instant last_piece);

/// @brief Sends the stored outcome of an earlier request with the same key.
/// @returns Whether the connection may carry another request.
bool send_stored(const relay_context& context, const core::claim_outcome& stored);

} // namespace hibiscusfall::traffic::detail
