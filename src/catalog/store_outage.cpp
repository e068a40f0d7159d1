#include "hibiscusfall/catalog/store_outage.hpp"

namespace hibiscusfall::catalog
{

void note_failed_call(store_outage& outage, core::instant now) noexcept
{
    if (outage.ended == core::instant{} || now - outage.ended > outage_gap) {
        outage.began = now;
    }
    outage.ended = now;
}

void note_return(store_outage& outage, core::instant now) noexcept
{
    outage.ended = now;
}

core::instant entries_settle_at(const store_outage& outage) noexcept
{
    const bool lost_entries = outage.ended - outage.began >= least_outage;
    return lost_entries ? outage.ended + lapse_grace : core::instant{};
}

} // namespace hibiscusfall::catalog
