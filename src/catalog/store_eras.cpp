#include "hibiscusfall/catalog/store_eras.hpp"

namespace hibiscusfall::catalog
{

era_relation record_era(store_eras& eras, std::uint64_t era) noexcept
{
    if (!eras.seen) {
        eras.seen = true;
        eras.current = era;
        return era_relation::same;
    }
    if (era <= eras.current) {
        return era == eras.current ? era_relation::same : era_relation::earlier;
    }
    eras.current = era;
    ++eras.restorations;
    return era_relation::restored;
}

} // namespace hibiscusfall::catalog
