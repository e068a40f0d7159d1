#include "hibiscusfall/relay/buffer_budget.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::relay
{

namespace
{

std::size_t& held_by(buffer_budget& budget, buffer_use use) noexcept
{
    return use == buffer_use::request ? budget.requests : budget.responses;
}

} // namespace

bool has_room(const buffer_budget& budget, buffer_use use, std::size_t current, std::size_t size) noexcept
{
    if (size <= current) {
        return true;
    }
    const auto more = size - current;
    const auto total = budget.held() + more;
    if (size <= buffer_budget::small_message_bytes) {
        return total <= budget.limit;
    }
    const auto same_direction = (use == buffer_use::request ? budget.requests : budget.responses) + more;
    return total <= budget.limit / 8 * 7 && same_direction <= budget.limit / 4 * 3;
}

buffer_share::buffer_share(std::shared_ptr<buffer_budget> of, buffer_use direction) noexcept
    : budget(std::move(of)), use(direction)
{
}

buffer_share::buffer_share(buffer_share&& other) noexcept
    : budget(std::move(other.budget)), use(other.use), bytes(std::exchange(other.bytes, 0))
{
}

buffer_share& buffer_share::operator=(buffer_share&& other) noexcept
{
    if (this != &other) {
        this->release();
        this->budget = std::move(other.budget);
        this->use = other.use;
        this->bytes = std::exchange(other.bytes, 0);
    }
    return *this;
}

buffer_share::~buffer_share()
{
    this->release();
}

bool buffer_share::resize(std::size_t size) noexcept
{
    if (!this->budget || size == this->bytes) {
        return true;
    }
    if (!has_room(*this->budget, this->use, this->bytes, size)) {
        ++this->budget->denied;
        return false;
    }
    auto& held = held_by(*this->budget, this->use);
    held = held - this->bytes + size;
    this->bytes = size;
    this->budget->peak = std::max(this->budget->peak, this->budget->held());
    return true;
}

void buffer_share::release() noexcept
{
    if (this->budget) {
        held_by(*this->budget, this->use) -= std::exchange(this->bytes, 0);
    }
}

buffer_share buffer_share::take() noexcept
{
    buffer_share taken{this->budget, this->use};
    taken.bytes = std::exchange(this->bytes, 0);
    return taken;
}

} // namespace hibiscusfall::relay
