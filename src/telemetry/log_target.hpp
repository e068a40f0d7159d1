#pragma once

#include "hibiscusfall/telemetry/log_event.hpp"

#include <spdlog/logger.h>

#include <memory>
#include <string_view>

namespace hibiscusfall::telemetry::detail
{

/// @brief Makes a logger the process's one, with the form of all log lines.
void use_logger(std::shared_ptr<spdlog::logger> made, std::string_view instance, log_level level);

} // namespace hibiscusfall::telemetry::detail
