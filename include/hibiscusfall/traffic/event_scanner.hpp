#pragma once

#include "hibiscusfall/traffic/stream_progress.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::traffic
{

/// @brief Cuts the server-sent events of one response into whole events, whatever the borders of its pieces.
/// @remarks Belongs to one attempt: bytes of an event that the response did not complete end with it. Only
/// whole events are handed on, so that a broken stream can be resumed exactly after the last event that the
/// caller got.
struct event_scanner {
    std::size_t event_bytes = 1048576;          ///< Largest event.
    stream_progress progress{};                 ///< Including the events in @c ready.
    std::optional<std::uint64_t> expected_id{}; ///< After a resume: the id that the next event must have.
    std::string partial{};                      ///< Bytes of an event whose end was not read yet.
    std::string ready{};                        ///< The whole events that the last feed gave.
};

/// @brief Why a piece was not accepted.
enum class scan_fault : std::uint8_t {
    none,
    event_too_large,
    not_continued,    ///< The first event of a resumed stream is not the one after the last delivered.
    after_end,        ///< Data follows the end mark.
    malformed,        ///< A line is no line of an event, or the lines are no event together.
    id_not_increasing ///< In a stream of numbered events, data has no number or none above the last one.
};

/// @brief Takes a piece of the stream; the whole events in it are in @c ready afterwards.
/// @remarks After a fault, @c ready and @c progress include the events before it.
///
/// Lines are comments, fields of events (data, id, event, retry), or header lines, which may only precede the
/// fields of an event that has data or an id. Other text is malformed: the head or body of an error response
/// that an endpoint writes into its stream is never taken as an event.
///
/// A stream is numbered once an event had a number as its id. From then on ids must increase, and all data
/// but the end mark must have one. Gaps between ids are accepted, since endpoints choose their steps.
[[nodiscard]] scan_fault feed(event_scanner& scanner, std::string_view piece);

/// @brief A scanner for the response to a resume request, which has to continue after the delivered events.
/// @returns Nothing when the stream cannot be resumed, as its last event had no number.
[[nodiscard]] std::optional<event_scanner> continue_after(const stream_progress& delivered);

} // namespace hibiscusfall::traffic
