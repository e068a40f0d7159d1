#pragma once

#include "hibiscusfall/configuration/change.hpp"

#include <optional>
#include <string>
#include <string_view>

/// @file
/// @brief Checks of the values in a change; each names what is wrong.
namespace hibiscusfall::configuration::detail
{

/// @brief Nothing when a check is passed, otherwise why it is not.
using verdict = std::optional<refusal>;

/// @brief A refusal whose reason is put together from parts.
template <class... parts>
verdict refuse(const parts&... text)
{
    std::string reason;
    (reason.append(text), ...);
    return refusal{.reason = std::move(reason)};
}

/// @brief A thing as a refusal names it: team "huts".
template <class id>
std::string named(std::string_view kind, const id& name)
{
    return std::string{kind} + " \"" + name.str() + "\"";
}

/// @brief 1 to 64 letters, digits, '-' or '_'.
template <class id>
verdict check_name(std::string_view kind, const id& name)
{
    if (core::is_valid_name(name.view())) {
        return std::nullopt;
    }
    return refuse(named(kind, name), ": a name has 1 to 64 letters, digits, '-' or '_'");
}

/// @brief Above 0 and at most max_share.
[[nodiscard]] verdict check_share(const core::team_id& id, double share);

/// @brief From 0 to max_worth.
[[nodiscard]] verdict check_worth(const core::service_id& id, std::string_view what, double worth);

/// @brief From 1 to max_slots.
[[nodiscard]] verdict check_slots(const core::endpoint_id& id, std::uint32_t slots);

/// @brief A declared endpoint is in the failure domain, once there are any.
[[nodiscard]] verdict
check_home(const document& target, const core::team_id& id, const core::failure_domain_id& home);

/// @brief Present, and no other team's.
[[nodiscard]] verdict
check_token(const document& target, const core::team_id& id, const std::string& token_hash);

/// @brief Present, and no other endpoint's.
[[nodiscard]] verdict
check_address(const document& target, const core::endpoint_id& id, const core::address& address);

/// @brief Streams are resumed elsewhere only where a request may be run again.
[[nodiscard]] verdict check_resume(const service& wanted);

/// @brief What placement is to order at an endpoint.
[[nodiscard]] verdict check_orders(const document& target, const endpoint& wanted);

/// @brief The change id and the author have bounded lengths.
[[nodiscard]] verdict check_request(const change_request& request);

} // namespace hibiscusfall::configuration::detail
