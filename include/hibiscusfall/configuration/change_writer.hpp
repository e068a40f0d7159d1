#pragma once

#include "hibiscusfall/configuration/change.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace hibiscusfall::configuration
{

/// @brief How an operator's change ended.
enum class change_outcome : std::uint8_t {
    accepted, ///< In the store for good.
    refused,  ///< Not in the store, and it will not be; the reason says why.
    unknown   ///< The store's answer was lost and cannot be read back yet. The same change id may be sent
              ///< again without harm.
};

/// @brief The outcome's name in answers: "accepted", "refused", "unknown".
[[nodiscard]] std::string_view to_string(change_outcome value) noexcept;

/// @brief What became of an operator's change.
struct change_result {
    change_outcome outcome = change_outcome::refused;
    std::uint64_t revision = 0;
    std::string reason;
};

/// @brief How a conditional write ended, as far as the writer knows.
enum class write_result : std::uint8_t { applied, conflict, not_sent, unknown };

/// @brief Next step: read the document from the store.
struct read_step {
};

/// @brief Next step: write the document if the store still holds what was read last.
struct write_step {
    document next;
};

/// @brief No further step.
struct finished {
    change_result result;
};

using writer_step = std::variant<read_step, write_step, finished>;

/// @brief Brings one change into the store: reads, applies, writes if nobody else did, and settles lost
/// answers by reading back for the change id. Starts with a read.
///
/// An attempt whose answer was lost cannot take effect after a later one did: each write names the
/// revision that it replaces, so at most one of them is applied.
struct change_writer {
    change_request request;
    bool may_be_written = false; ///< The answer to a write was lost.
    unsigned conflicts = 0;      ///< Others wrote first.
    unsigned lost = 0;           ///< Answers or reads that failed one after the other.
    std::uint64_t attempted_revision = 0;
};

/// @name Events
/// @param kept The document in the store; an empty one when there is none yet.
[[nodiscard]] writer_step on_read(change_writer& writer, document kept);
[[nodiscard]] writer_step on_read_failed(change_writer& writer, std::string_view reason);
[[nodiscard]] writer_step on_written(change_writer& writer, write_result result, std::string_view reason);

} // namespace hibiscusfall::configuration
