#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/settings/setting_description.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::settings
{

/// @brief Everything that an entry process reads from its settings file.
struct entry_settings {
    /// @name [instance]
    core::instance_id id;
    core::failure_domain_id domain;

    std::uint32_t memory_mb = 80;  ///< That the instance may use, MiB; the default fits small machines.
    std::uint32_t descriptors = 0; ///< That the process may open; zero if no limit is known.
    std::map<core::failure_domain_id, std::string> regions; ///< Of the failure domains.

    /// @name [listen]
    core::address callers;
    core::address readiness;
    core::address inner;
    core::address metrics; ///< None when not set.

    /// @name [peers]
    double capacity = 1; ///< Part of a core.
    std::vector<core::address> seeds;

    /// @name [store]
    core::address store;
    double store_writes_per_second = 100; ///< Of all instances.
    double store_reads_per_second = 500;  ///< Of all instances.

    /// @name [configuration]
    std::chrono::milliseconds configuration_bound{2000};

    /// @name [repeats]
    double repeat_ratio = 0.1;
    double repeat_slack = 10;
    std::chrono::microseconds repeat_window = std::chrono::seconds{10};

    /// @name [cold_endpoints]
    double cold_overshoot = 1; ///< Factor on the rate that the configuration states.
    double cold_slack = 0;     ///< Further requests in any second.

    /// @name [second_sends]
    double second_send_limit = 0; ///< Share of a service's requests.

    /// @name [shares]
    std::chrono::microseconds share_window = std::chrono::seconds{4};

    /// @name [placement]
    std::string policy = "engine_model";

    /// @name [shutdown]
    std::chrono::microseconds stop_limit = std::chrono::seconds{8};

    /// @name [log]
    std::string log_level = "event";
};

/// @brief A settings file as read; it is usable when there are no errors.
struct entry_settings_reading {
    entry_settings settings;
    std::vector<settings_error> errors;

    [[nodiscard]] explicit operator bool() const noexcept { return this->errors.empty(); }
};

/// @brief Reads INI text and checks every key and value.
[[nodiscard]] entry_settings_reading read_entry_settings(std::string_view ini_text);

/// @brief Every key that an entry's settings file may have, in the order of the reference page.
[[nodiscard]] std::vector<setting_description> describe_entry_settings();

} // namespace hibiscusfall::settings
