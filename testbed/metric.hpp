#pragma once

#include "hibiscusfall/core/address.hpp"

#include <string_view>

namespace hibiscusfall::testbed
{

/// @brief One value of an instance's metrics page, read now.
/// @param name With its labels, as on the page: name{label="value"}
/// @returns -1 when the page does not answer or has no such value.
[[nodiscard]] double read_metric(const core::address& operators, std::string_view name);

} // namespace hibiscusfall::testbed
