#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/settings/setting_description.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::settings
{

/// @brief How a router gets slots.
enum class scheduling_mode : std::uint8_t {
    fleet, ///< From the scheduler of its failure domain.
    alone  ///< From its own view only, least requests in flight; the baseline of measurements.
};

/// @brief Everything that a router reads from its settings file.
struct router_settings {
    /// @name [instance]
    core::instance_id id;
    core::failure_domain_id domain;

    /// @name [listen] and [advertise]
    core::address callers;
    core::address operators;
    core::address inner;
    core::address advertised_operators; ///< As others reach it; the listen address when not set.
    core::address advertised_inner;

    /// @name [peers]
    std::vector<core::address> seeds;

    /// @name [platform]
    core::address store;
    core::address instance_list; ///< None when not set.

    /// @name [security]
    std::string fleet_secret;
    std::string operator_token_hash;

    /// @name [limits]
    std::uint32_t queue_per_team = 64;
    std::uint32_t queue_total = 1024;
    std::uint32_t header_bytes = 16384;
    std::uint32_t body_bytes = 1048576;
    std::uint32_t connections = 800;
    std::chrono::milliseconds default_deadline{60000};

    /// @name [traffic]
    std::uint32_t retry_percent = 10;
    std::uint32_t hedge_percent = 5;
    std::chrono::milliseconds connect_timeout{2000};
    std::chrono::milliseconds endpoint_timeout{30000};
    std::string connect_from; ///< Local IP number of connections to endpoints; empty for any.
    std::chrono::milliseconds caller_timeout{30000};

    /// @name [scheduling]
    scheduling_mode mode = scheduling_mode::fleet;

    /// @name [claims]
    std::chrono::seconds claim_retention{86400};
    std::uint32_t claim_memory_mb = 96;
    std::uint32_t claim_body_bytes = 2048;
    std::uint32_t claim_body_memory_mb = 16;

    /// @name [placement]
    std::uint32_t loads_per_minute = 30;
    std::chrono::seconds placement_lease{10};

    /// @name [shutdown]
    std::chrono::milliseconds shutdown_limit{30000};

    /// @name [log]
    std::string log_level = "event";
};

/// @brief A settings file as read; it is usable when there are no errors.
struct settings_reading {
    router_settings settings;
    std::vector<settings_error> errors;

    [[nodiscard]] explicit operator bool() const noexcept { return this->errors.empty(); }
};

/// @brief Reads INI text and checks every key and value.
///
/// @code
/// const auto reading = read_router_settings(text);
/// for (const auto& error : reading.errors) { std::cerr << to_string(error) << '\n'; }
/// @endcode
[[nodiscard]] settings_reading read_router_settings(std::string_view ini_text);

/// @brief Every key that a settings file may have, in the order of the reference page.
[[nodiscard]] std::vector<setting_description> describe_router_settings();

} // namespace hibiscusfall::settings
