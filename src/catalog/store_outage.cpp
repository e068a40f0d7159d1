#include "hibiscusfall/catalog/store_outage.hpp"

namespace hibiscusfall::catalog
{

void record_failed_call(store_outage& outage, core::instant now) noexcept
{
    if (outage.ended == core::instant{} || now - outage.ended > max_failure_gap) {
        outage.began = now;
    }
    outage.ended = now;
}

void record_recovery(store_outage& outage, core::instant now) noexcept
{
    outage.ended = now;
}

core::instant removal_deadline(const store_outage& outage) noexcept
{
    const bool may_have_lost_entries = outage.ended - outage.began >= min_outage;
    return may_have_lost_entries ? outage.ended + reregistration_grace : core::instant{};
}

} // namespace hibiscusfall::catalog
