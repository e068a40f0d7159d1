#pragma once

#include "hibiscusfall/configuration/document.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hibiscusfall::configuration
{

inline constexpr double max_share = 1e6;
inline constexpr double max_worth = 1e9;
inline constexpr std::uint32_t max_slots = 4096;
inline constexpr std::size_t max_models = 16;             ///< Further models of one endpoint.
inline constexpr std::size_t max_history = 256;           ///< Records of changes that are kept.
inline constexpr std::size_t max_document_bytes = 960000; ///< The store takes a megabyte.
inline constexpr std::size_t max_command_bytes = 400;     ///< Longer commands are cut in the history.

/// @name Changes of teams
struct create_team {
    core::team_id id;
    double share = 1.0;
    std::string token_hash; ///< See hash_token.
    core::failure_domain_id home_domain;
};
struct alter_team {
    core::team_id id;
    std::optional<double> share;
    std::optional<std::string> token_hash;
    std::optional<core::failure_domain_id> home_domain;
};
struct remove_team {
    core::team_id id;
};

/// @name Changes of services
struct declare_service {
    core::service_id id;
    service_kind kind = service_kind::model;
    bool repeatable = true;
    double worth_per_request = 1.0;
    double worth_per_token = 0.0;
    bool resume_elsewhere = false;
};
struct alter_service {
    core::service_id id;
    std::optional<bool> repeatable;
    std::optional<double> worth_per_request;
    std::optional<double> worth_per_token;
    std::optional<bool> resume_elsewhere;
};
struct drain_service {
    core::service_id id;
};
struct undrain_service {
    core::service_id id;
};
struct remove_service {
    core::service_id id;
};

/// @name Changes of endpoints
struct declare_endpoint {
    core::endpoint_id id;
    core::service_id service;
    core::failure_domain_id domain;
    core::address address;
    std::uint32_t slots = 1;
    bool checks_fencing = false;
    std::optional<endpoint_role> role;
    std::vector<core::service_id> models;
};
struct alter_endpoint {
    core::endpoint_id id;
    std::optional<core::address> address;
    std::optional<std::uint32_t> slots;
    std::optional<bool> checks_fencing;
    std::optional<endpoint_role> role;
    std::optional<std::vector<core::service_id>> models;
};
struct drain_endpoint {
    core::endpoint_id id;
};
struct undrain_endpoint {
    core::endpoint_id id;
};
struct remove_endpoint {
    core::endpoint_id id;
};

/// @brief Any one change of the configuration.
using change = std::variant<create_team,
                            alter_team,
                            remove_team,
                            declare_service,
                            alter_service,
                            drain_service,
                            undrain_service,
                            remove_service,
                            declare_endpoint,
                            alter_endpoint,
                            drain_endpoint,
                            undrain_endpoint,
                            remove_endpoint>;

/// @brief Why a change was not accepted.
struct refusal {
    std::string reason; ///< Names the thing that is wrong.
};

/// @brief Applies one change to the entries of a document; its revision and history stay.
/// @returns Nothing when it was applied; otherwise why not, and the document is unchanged.
///
/// @code
/// if (const auto refused = apply(drain_endpoint{.id = core::endpoint_id{"draft-1"}}, target)) {
///     return refused->reason; // endpoint "draft-1" does not exist
/// }
/// @endcode
[[nodiscard]] std::optional<refusal> apply(const change& wanted, document& target);

/// @brief One change as an operator asks for it.
struct change_request {
    std::string change_id; ///< Names the request for good; repeating it is harmless.
    std::string command;   ///< As typed, without secrets; kept in the history.
    std::string author;
    std::int64_t unix_seconds = 0;
    change wanted;
};

/// @brief How a request ended against one document.
struct submission {
    std::optional<refusal> refused;
    bool repeated = false;      ///< Accepted before under the same change id; nothing was applied.
    std::uint64_t revision = 0; ///< At which it was accepted; 0 when refused.
};

/// @brief Applies a request as the document's next revision and records it in the history.
/// @remarks The document is unchanged when the request is refused or repeated.
[[nodiscard]] submission submit(const change_request& request, document& target);

/// @brief The record of an accepted change; null when the history does not hold it.
[[nodiscard]] const change_record* find_record(const document& target, std::string_view change_id) noexcept;

} // namespace hibiscusfall::configuration
