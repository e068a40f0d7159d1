#include "hibiscusfall/protocol/membership_messages.hpp"

namespace hibiscusfall::protocol
{

std::string_view to_string(member_status value) noexcept
{
    switch (value) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::leaving:
        return "leaving";
    case member_status::removed:
        return "removed";
    }
    return "removed";
}

} // namespace hibiscusfall::protocol
