#include "hibiscusfall/peers/store_readers.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hibiscusfall::peers
{

namespace
{

std::uint64_t rank(std::string_view name)
{
    return XXH64(name.data(), name.size(), 1);
}

} // namespace

bool should_read_store(std::string_view own_name, std::span<const reader_candidate> others, core::instant now)
{
    const auto own = rank(own_name);
    const auto before = std::count_if(others.begin(), others.end(), [&](const reader_candidate& each) {
        return !each.name.empty() && !each.store_failing && !each.leaving && !each.earlier_era &&
               now - each.last_heard <= reader_timeout && rank(each.name) < own;
    });
    return before < reader_count;
}

} // namespace hibiscusfall::peers
