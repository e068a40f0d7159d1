#include "change_reader.hpp"

#include "hibiscusfall/core/address.hpp"

#include <charconv>
#include <cmath>
#include <utility>

namespace hibiscusfall::operators::detail
{

namespace
{

using namespace configuration;

/// Reads the options of one command; the first wrong value is kept as the error.
class option_reader
{
public:
    explicit option_reader(const bound_command& given) : bound(given) {}

    [[nodiscard]] std::optional<std::string> text(const std::string& key) const
    {
        const auto* value = this->bound.find(key);
        return value == nullptr ? std::nullopt : std::optional{*value};
    }

    std::optional<double> number(const std::string& key) { return this->read<double>(key, "a number"); }

    std::optional<std::uint32_t> whole_number(const std::string& key)
    {
        return this->read<std::uint32_t>(key, "a whole number of 0 or more");
    }

    std::optional<core::address> address(const std::string& key)
    {
        const auto* value = this->bound.find(key);
        if (value == nullptr) {
            return std::nullopt;
        }
        auto parsed = core::parse_address(*value);
        if (!parsed) {
            this->fail(key, *value, "an address such as 10.0.0.7:8000");
        }
        return parsed;
    }

    /// Reads one of two words; true for the first.
    std::optional<bool> choice(const std::string& key, std::string_view first, std::string_view second)
    {
        const auto* value = this->bound.find(key);
        if (value == nullptr) {
            return std::nullopt;
        }
        if (*value != first && *value != second) {
            this->fail(key, *value, std::string{first} + " or " + std::string{second});
        }
        return *value == first;
    }

    std::optional<endpoint_role> role(const std::string& key)
    {
        const auto* value = this->bound.find(key);
        if (value == nullptr) {
            return std::nullopt;
        }
        const auto parsed = parse_role(*value);
        if (!parsed) {
            this->fail(key, *value, "any, prefill or decode");
        }
        return parsed;
    }

    /// Names with commas between them; their form is checked with the change.
    [[nodiscard]] std::optional<std::vector<core::service_id>> names(const std::string& key) const
    {
        const auto* value = this->bound.find(key);
        if (value == nullptr) {
            return std::nullopt;
        }
        std::vector<core::service_id> list;
        std::string_view rest{*value};
        while (!value->empty()) {
            const auto comma = rest.find(',');
            list.emplace_back(rest.substr(0, comma));
            if (comma == std::string_view::npos) {
                break;
            }
            rest.remove_prefix(comma + 1);
        }
        return list;
    }

    [[nodiscard]] const std::string& error() const noexcept { return this->first_error; }

private:
    template <class number_type>
    std::optional<number_type> read(const std::string& key, std::string_view wanted)
    {
        const auto* value = this->bound.find(key);
        if (value == nullptr) {
            return std::nullopt;
        }
        number_type result{};
        const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), result);
        if (error != std::errc{} || end != value->data() + value->size()) {
            this->fail(key, *value, wanted);
        }
        return result;
    }

    void fail(std::string_view key, std::string_view value, std::string_view wanted)
    {
        if (this->first_error.empty()) {
            this->first_error.append(key).append(" \"").append(value).append("\" is not ").append(wanted);
        }
    }

    const bound_command& bound;
    std::string first_error;
};

std::optional<std::string> token_hash(const option_reader& options)
{
    const auto token = options.text("token");
    return token ? std::optional{hash_token(*token)} : std::nullopt;
}

change read_create_team(const std::string& name, option_reader& options)
{
    return create_team{.id = core::team_id{name},
                       .share = options.number("share").value_or(0),
                       .token_hash = token_hash(options).value_or(""),
                       .home_domain = core::failure_domain_id{options.text("home").value_or("")}};
}

change read_alter_team(const std::string& name, option_reader& options)
{
    alter_team wanted{.id = core::team_id{name},
                      .share = options.number("share"),
                      .token_hash = token_hash(options),
                      .home_domain = std::nullopt};
    if (const auto home = options.text("home")) {
        wanted.home_domain = core::failure_domain_id{*home};
    }
    return wanted;
}

change read_declare_service(const std::string& name, option_reader& options)
{
    const bool plain = options.choice("kind", "plain", "model").value_or(false);
    return declare_service{.id = core::service_id{name},
                           .kind = plain ? service_kind::plain : service_kind::model,
                           .repeatable = options.choice("repeatable", "yes", "no").value_or(!plain),
                           .worth_per_request = options.number("worth").value_or(1.0),
                           .worth_per_token = options.number("token_worth").value_or(0.0),
                           .resume_elsewhere =
                               options.choice("resume_elsewhere", "yes", "no").value_or(false)};
}

change read_alter_service(const std::string& name, option_reader& options)
{
    return alter_service{.id = core::service_id{name},
                         .repeatable = options.choice("repeatable", "yes", "no"),
                         .worth_per_request = options.number("worth"),
                         .worth_per_token = options.number("token_worth"),
                         .resume_elsewhere = options.choice("resume_elsewhere", "yes", "no")};
}

change read_declare_endpoint(const std::string& name, option_reader& options)
{
    return declare_endpoint{.id = core::endpoint_id{name},
                            .service = core::service_id{options.text("service").value_or("")},
                            .domain = core::failure_domain_id{options.text("domain").value_or("")},
                            .address = options.address("address").value_or(core::address{}),
                            .slots = options.whole_number("slots").value_or(1),
                            .checks_fencing = options.choice("fencing", "checked", "ignored").value_or(false),
                            .role = options.role("role"),
                            .models = options.names("models").value_or(std::vector<core::service_id>{})};
}

change read_alter_endpoint(const std::string& name, option_reader& options)
{
    return alter_endpoint{.id = core::endpoint_id{name},
                          .address = options.address("address"),
                          .slots = options.whole_number("slots"),
                          .checks_fencing = options.choice("fencing", "checked", "ignored"),
                          .role = options.role("role"),
                          .models = options.names("models")};
}

template <class wanted>
change read_name_only(const std::string& name, option_reader& /*options*/)
{
    return wanted{.id = decltype(wanted::id){name}};
}

using reader = change (*)(const std::string& name, option_reader& options);

struct reader_entry {
    std::string_view verb;
    std::string_view noun;
    reader read;
};

constexpr reader_entry readers[] = {
    {"create", "team", read_create_team},
    {"alter", "team", read_alter_team},
    {"remove", "team", read_name_only<remove_team>},
    {"declare", "service", read_declare_service},
    {"alter", "service", read_alter_service},
    {"drain", "service", read_name_only<drain_service>},
    {"undrain", "service", read_name_only<undrain_service>},
    {"remove", "service", read_name_only<remove_service>},
    {"declare", "endpoint", read_declare_endpoint},
    {"alter", "endpoint", read_alter_endpoint},
    {"drain", "endpoint", read_name_only<drain_endpoint>},
    {"undrain", "endpoint", read_name_only<undrain_endpoint>},
    {"remove", "endpoint", read_name_only<remove_endpoint>},
};

} // namespace

std::variant<configuration::change, usage_error> read_change(const bound_command& bound)
{
    for (const auto& entry : readers) {
        if (entry.verb != bound.shape->verb || entry.noun != bound.shape->noun) {
            continue;
        }
        option_reader options(bound);
        auto wanted = entry.read(bound.name, options);
        if (!options.error().empty()) {
            return usage_error{.message = options.error()};
        }
        return wanted;
    }
    return usage_error{.message = "no such change: " + usage_of(*bound.shape)};
}

} // namespace hibiscusfall::operators::detail
