#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <string>

namespace hibiscusfall::dispatch
{

/// @brief What the store states of the streams of a service that it has no record of.
enum class baseline_state : std::uint8_t {
    unread, ///< Not read since the store names several versions.
    named,  ///< They began at the baseline version.
    absent  ///< Nothing, nor will it while the store names several versions.
};

/// @brief The baseline of a service: the version that was alone when a second one was registered.
/// @remarks Streams are not recorded while the store names one version. For a while after the second one was
/// registered, a stream without a record is taken to have begun at the baseline version, even if its instance
/// could not write it. This requires that the first event of a stream at another version is not passed on
/// before the store has its record.
struct stream_baseline {
    baseline_state state = baseline_state::unread;
    std::string version{};        ///< Set if named.
    core::instant covers_until{}; ///< Streams at the version that expire by then need no record.
    core::instant next_check{};   ///< When the store is asked whether it still names the version.
};

/// @brief Times of a baseline.
struct baseline_times {
    /// The store names the version for this time. At most the time that a record is certain to be kept, as
    /// the end of the baseline has to precede that of the records.
    core::duration lifetime = std::chrono::seconds{18};
    /// Time from the registration of a version until all instances have learned of it, with a margin.
    core::duration max_learning_time = std::chrono::seconds{5};
    /// Interval between checks once the lifetime has passed; leases may pause while the store is away.
    core::duration check_interval = std::chrono::seconds{5};
};

} // namespace hibiscusfall::dispatch
