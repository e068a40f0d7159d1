#pragma once

#include "hibiscusfall/configuration/document.hpp"

#include <nlohmann/json.hpp>

/// The JSON forms of the parts of a document. Reading throws nlohmann::json::exception on a wrong form.
namespace hibiscusfall::configuration::detail
{

[[nodiscard]] nlohmann::json encode(const team& value);
[[nodiscard]] nlohmann::json encode(const service& value);
[[nodiscard]] nlohmann::json encode(const endpoint& value);
[[nodiscard]] nlohmann::json encode(const change_record& value);

void decode(const nlohmann::json& from, team& value);
void decode(const nlohmann::json& from, service& value);
void decode(const nlohmann::json& from, endpoint& value);
void decode(const nlohmann::json& from, change_record& value);

/// @brief Reads a list into a map, by each entry's id; entries that are there already are replaced.
template <class entries>
void decode_into(const nlohmann::json& list, entries& target)
{
    for (const auto& item : list) {
        typename entries::mapped_type value;
        decode(item, value);
        auto id = value.id;
        target.insert_or_assign(std::move(id), std::move(value));
    }
}

} // namespace hibiscusfall::configuration::detail
