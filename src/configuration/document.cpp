#include "hibiscusfall/configuration/document.hpp"

#include "document_json.hpp"

#include <sodium.h>

#include <array>

namespace hibiscusfall::configuration
{

namespace
{

using nlohmann::json;

template <class map, class key>
const typename map::mapped_type* look_up(const map& entries, const key& id) noexcept
{
    const auto found = entries.find(id);
    return found == entries.end() ? nullptr : &found->second;
}

template <class entries>
json encode_all(const entries& values)
{
    json list = json::array();
    for (const auto& [id, value] : values) {
        list.push_back(detail::encode(value));
    }
    return list;
}

document decode(const json& from)
{
    document result;
    result.revision = from.at("revision").get<std::uint64_t>();
    detail::decode_into(from.at("teams"), result.teams);
    detail::decode_into(from.at("services"), result.services);
    detail::decode_into(from.at("endpoints"), result.endpoints);
    for (const auto& item : from.at("history")) {
        change_record record;
        detail::decode(item, record);
        result.history.push_back(std::move(record));
    }
    result.index_tokens();
    return result;
}

} // namespace

std::string_view to_string(endpoint_role value) noexcept
{
    switch (value) {
    case endpoint_role::any:
        return "any";
    case endpoint_role::prefill:
        return "prefill";
    case endpoint_role::decode:
        return "decode";
    }
    return "any";
}

std::optional<endpoint_role> parse_role(std::string_view text) noexcept
{
    for (const auto value : {endpoint_role::any, endpoint_role::prefill, endpoint_role::decode}) {
        if (to_string(value) == text) {
            return value;
        }
    }
    return std::nullopt;
}

const team* document::find(const core::team_id& id) const noexcept
{
    return look_up(this->teams, id);
}

const service* document::find(const core::service_id& id) const noexcept
{
    return look_up(this->services, id);
}

const endpoint* document::find(const core::endpoint_id& id) const noexcept
{
    return look_up(this->endpoints, id);
}

const team* document::find_by_token(std::string_view token) const
{
    const auto digest = hash_token(token);
    if (const auto indexed = this->team_by_token.find(digest); indexed != this->team_by_token.end()) {
        const auto* found = this->find(indexed->second);
        return found != nullptr && found->token_hash == digest ? found : nullptr;
    }
    if (this->team_by_token.size() == this->teams.size()) {
        return nullptr;
    }
    for (const auto& [id, value] : this->teams) {
        if (value.token_hash == digest) {
            return &value;
        }
    }
    return nullptr;
}

void document::index_tokens()
{
    this->team_by_token.clear();
    this->team_by_token.reserve(this->teams.size());
    for (const auto& [id, value] : this->teams) {
        this->team_by_token.emplace(value.token_hash, id);
    }
}

std::string hash_token(std::string_view token)
{
    constexpr std::size_t digest_bytes = 32;
    std::array<unsigned char, digest_bytes> digest{};
    crypto_generichash(digest.data(),
                       digest.size(),
                       reinterpret_cast<const unsigned char*>(token.data()),
                       token.size(),
                       nullptr,
                       0);
    std::string hex(2 * digest_bytes + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

std::string to_json(const document& value)
{
    json history = json::array();
    for (const auto& change : value.history) {
        history.push_back(detail::encode(change));
    }
    const json whole{{"revision", value.revision},
                     {"teams", encode_all(value.teams)},
                     {"services", encode_all(value.services)},
                     {"endpoints", encode_all(value.endpoints)},
                     {"history", std::move(history)}};
    return whole.dump();
}

std::optional<document> from_json(std::string_view text, std::string& reason)
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception& error) {
        reason = std::string{"configuration document: "} + error.what();
        return std::nullopt;
    }
}

} // namespace hibiscusfall::configuration
