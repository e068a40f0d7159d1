#pragma once

#include "hibiscusfall/telemetry/log_event.hpp"

#include <spdlog/logger.h>

#include <memory>
#include <string_view>

namespace hibiscusfall::telemetry::detail
{

/// @brief Installs the logger of the process and sets its line format and level.
void set_logger(std::shared_ptr<spdlog::logger> target, std::string_view instance, log_level level);

} // namespace hibiscusfall::telemetry::detail
