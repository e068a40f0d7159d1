#include "hibiscusfall/dispatch/request_traits.hpp"

#include <algorithm>
#include <span>

namespace hibiscusfall::dispatch
{

request_traits traits_of(const prompt* generation)
{
    request_traits traits;
    if (generation == nullptr || generation->segments.empty()) {
        return traits;
    }
    const std::span<const prompt_segment> all{generation->segments};
    for (const auto& segment : all.first(all.size() - 1)) {
        traits.segments.push_back(segment.id);
    }
    std::sort(traits.segments.begin(), traits.segments.end());
    traits.segments.erase(std::unique(traits.segments.begin(), traits.segments.end()), traits.segments.end());
    return traits;
}

} // namespace hibiscusfall::dispatch
