#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/peers/copy_source.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace hibiscusfall::peers
{

/// @brief Times of requests for catalog copies.
/// @remarks A change has to be known everywhere within the bound for configurations, two seconds or more. The
/// time to learn of it, two sources that do not answer and the copy from a third one fit into that.
struct copy_times {
    /// Time without the beginning of an answer after which another source is asked as well.
    core::duration patience = std::chrono::milliseconds{250};
    /// As @c patience, from a source whose answer has begun.
    core::duration transfer_time = std::chrono::milliseconds{750};
    /// Pause after a source that failed, before another one is asked.
    core::duration failure_pause = std::chrono::milliseconds{100};
    /// Pause before the same source is asked again, and after a copy that brought nothing new.
    core::duration repeat_pause = std::chrono::milliseconds{500};
    /// Time for which a source that did not answer is used only if there is no other.
    core::duration last_resort_time = std::chrono::seconds{3};
};

/// @brief Copies that an instance has requested, and sources that did not answer.
struct copy_requests {
    /// @brief A request without a complete answer yet.
    struct request {
        core::instant sent_at{};
        bool answering = false; ///< Whether the answer has begun.
    };

    /// Requests at a time. Each further one costs a copy if all sources are only slow.
    static constexpr std::size_t max_pending = 3;

    copy_times times{};
    std::map<core::address, request> pending;
    std::map<core::address, core::instant> unanswered; ///< Sources that did not answer, and since when.
    core::instant behind_since = core::instant::max(); ///< When a newer catalog was first known.
    core::instant next{};                              ///< No copy is requested before this.
};

/// @brief Chooses the candidate from which a copy is requested now.
/// @returns Its index; nothing while no request is due.
/// @remarks Asks a second source when the first one does not answer: an instance that reported a newer
/// catalog may have stopped before it could pass it on, while others have the catalog too.
[[nodiscard]] std::optional<std::size_t> next_copy_source(copy_requests& requests,
                                                          copy_requester requester,
                                                          std::span<const copy_candidate> candidates,
                                                          core::instant now);

/// @brief Records that the answer of a source has begun.
void record_answer(copy_requests& requests, const core::address& source);

/// @brief Records a complete copy. One that brought a newer catalog replaces all other requests.
void record_copy(copy_requests& requests, const core::address& source, bool newer, core::instant now);

/// @brief Records that no copy can be had from a source.
void record_failure(copy_requests& requests, const core::address& source, core::instant now);

} // namespace hibiscusfall::peers
