#pragma once

#include "standins/parts/key_value_store.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace hibiscusfall::standins
{

/// @brief Answers one call of the published JSON gateway. Throws nlohmann::json::exception for a bad body.
/// @returns Nothing when the path is none of its.
[[nodiscard]] std::optional<nlohmann::json>
answer_store_call(key_value_store& store, std::string_view path, const nlohmann::json& body);

/// @brief The keys that a watch's create request names.
[[nodiscard]] key_range read_key_range(const nlohmann::json& from);

/// @brief A number that may be written as text.
[[nodiscard]] std::int64_t read_number(const nlohmann::json& from, const char* name, std::int64_t fallback);

/// @brief The line that a watch sends for a batch.
[[nodiscard]] std::string write_watch_line(const watch_batch& batch);

/// @brief The first line of a watch.
[[nodiscard]] std::string write_watch_created(std::int64_t revision);

} // namespace hibiscusfall::standins
