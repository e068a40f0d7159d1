#include "crash_refusal.hpp"

#include "crash_watch.hpp"

#include <string>

namespace hibiscusfall::relay::detail
{

refusal crash_refusal(const dispatch::crash_attribution& crashes,
                      const dispatch::crash_cause& cause,
                      const dispatch::request_traits& request,
                      core::instant now)
{
    return {.status = 503,
            .code = to_string(core::failure::crashes_endpoints),
            .detail = std::to_string(cause.crashes) + " crashes of endpoints are attributed to " +
                      describe(cause, request),
            .retry_after = core::elapsed(now, dispatch::rejected_until(crashes, cause))};
}

} // namespace hibiscusfall::relay::detail
