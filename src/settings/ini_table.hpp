#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/text_id.hpp"
#include "hibiscusfall/settings/setting_description.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <ini.h>

namespace hibiscusfall::settings::detail
{

/// Takes a value into the settings; the result says what is wrong with it, empty when nothing is.
template <class target>
using setter = std::function<std::string(target&, std::string_view value)>;

/// @brief One key of a settings file.
template <class target>
struct setting {
    setting_description description;
    bool required = false;
    setter<target> set;
};

[[nodiscard]] inline std::string quoted(std::string_view value)
{
    return "\"" + std::string{value} + "\"";
}

template <class target, class id>
setter<target> set_name(id target::*member)
{
    return [member](target& settings, std::string_view value) -> std::string {
        if (!core::is_valid_name(value)) {
            return quoted(value) + " is not a name of 1 to 64 letters, digits, '-' or '_'";
        }
        settings.*member = id{value};
        return {};
    };
}

template <class target>
setter<target> set_address(core::address target::*member)
{
    return [member](target& settings, std::string_view value) -> std::string {
        const auto parsed = core::parse_address(value);
        if (!parsed) {
            return quoted(value) + " is not an address such as 127.0.0.1:8080";
        }
        settings.*member = *parsed;
        return {};
    };
}

template <class target>
setter<target> set_addresses(std::vector<core::address> target::*member)
{
    return [member](target& settings, std::string_view value) -> std::string {
        while (!value.empty()) {
            const auto comma = std::min(value.find(','), value.size());
            auto item = value.substr(0, comma);
            value.remove_prefix(std::min(comma + 1, value.size()));
            while (item.starts_with(' ')) {
                item.remove_prefix(1);
            }
            while (item.ends_with(' ')) {
                item.remove_suffix(1);
            }
            const auto parsed = core::parse_address(item);
            if (!parsed) {
                return quoted(item) + " is not an address such as 127.0.0.1:7000";
            }
            (settings.*member).push_back(*parsed);
        }
        return {};
    };
}

inline std::string
read_number(std::string_view value, std::uint32_t lowest, std::uint32_t highest, std::uint32_t& result)
{
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error != std::errc{} || end != value.data() + value.size() || result < lowest || result > highest) {
        return quoted(value) + " is not a whole number from " + std::to_string(lowest) + " to " +
               std::to_string(highest);
    }
    return {};
}

template <class target>
setter<target> set_number(std::uint32_t target::*member, std::uint32_t lowest, std::uint32_t highest)
{
    return [=](target& settings, std::string_view value) {
        return read_number(value, lowest, highest, settings.*member);
    };
}

/// A number with or without a fraction.
template <class target>
setter<target> set_fraction(double target::*member, double lowest, double highest)
{
    return [=](target& settings, std::string_view value) -> std::string {
        double number = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (error != std::errc{} || end != value.data() + value.size() || !(number >= lowest) ||
            !(number <= highest)) {
            return quoted(value) + " is not a number from " + std::to_string(lowest) + " to " +
                   std::to_string(highest);
        }
        settings.*member = number;
        return {};
    };
}

/// A number of seconds with or without a fraction.
template <class target>
setter<target>
set_fraction_of_seconds(std::chrono::microseconds target::*member, double lowest, double highest)
{
    struct reading {
        double seconds = 0;
    };
    return [=](target& settings, std::string_view value) -> std::string {
        reading read;
        auto problem = set_fraction<reading>(&reading::seconds, lowest, highest)(read, value);
        if (problem.empty()) {
            constexpr double microseconds_in_second = 1e6;
            settings.*member = std::chrono::microseconds{
                static_cast<std::chrono::microseconds::rep>(read.seconds * microseconds_in_second)};
        }
        return problem;
    };
}

template <class target, class unit>
setter<target> set_time(unit target::*member, std::uint32_t lowest, std::uint32_t highest)
{
    return [=](target& settings, std::string_view value) {
        std::uint32_t number = 0;
        auto problem = read_number(value, lowest, highest, number);
        if (problem.empty()) {
            settings.*member = unit{number};
        }
        return problem;
    };
}

template <class target>
setter<target> set_seconds(std::chrono::seconds target::*member, std::uint32_t lowest, std::uint32_t highest)
{
    return set_time(member, lowest, highest);
}

template <class target>
setter<target>
set_milliseconds(std::chrono::milliseconds target::*member, std::uint32_t lowest, std::uint32_t highest)
{
    return set_time(member, lowest, highest);
}

template <class target>
setter<target> set_text(std::string target::*member, std::size_t shortest)
{
    return [=](target& settings, std::string_view value) -> std::string {
        if (value.size() < shortest) {
            return "needs at least " + std::to_string(shortest) + " characters";
        }
        settings.*member = std::string{value};
        return {};
    };
}

template <class target>
setter<target> set_host(std::string target::*member)
{
    return [member](target& settings, std::string_view value) -> std::string {
        in_addr parsed{};
        if (::inet_pton(AF_INET, std::string{value}.c_str(), &parsed) != 1) {
            return quoted(value) + " is not an IP number such as 127.0.0.1";
        }
        settings.*member = std::string{value};
        return {};
    };
}

template <class target>
setter<target> set_log_level(std::string target::*member)
{
    return [member](target& settings, std::string_view value) -> std::string {
        if (value != "error" && value != "event" && value != "decision") {
            return quoted(value) + " is none of error, event, decision";
        }
        settings.*member = std::string{value};
        return {};
    };
}

/// @brief Reads INI text by a table of settings.
template <class target>
class ini_reader
{
public:
    explicit ini_reader(const std::vector<setting<target>>& known) : table(known) {}

    /// @param errors Receives one entry for each fault.
    target read(std::string_view ini_text, std::vector<settings_error>& errors)
    {
        const std::string text{ini_text};
        const int bad_line = ini_parse_string(text.c_str(), &ini_reader::take_pair, this);
        if (bad_line != 0) {
            this->found.push_back({.section = "file",
                                   .key = "line " + std::to_string(bad_line),
                                   .message = "is neither a [section] nor key = value"});
        }
        for (const auto& entry : this->table) {
            const std::pair name{std::string{entry.description.section}, std::string{entry.description.key}};
            if (entry.required && !this->given.contains(name)) {
                this->fail(name.first, name.second, "is required and missing");
            }
        }
        errors = std::move(this->found);
        return std::move(this->result);
    }

private:
    static int take_pair(void* user, const char* section, const char* key, const char* value)
    {
        static_cast<ini_reader*>(user)->take(section, key, value);
        return 1;
    }

    void take(std::string_view section, std::string_view key, std::string_view value)
    {
        const auto known = std::find_if(this->table.begin(), this->table.end(), [&](const auto& entry) {
            return entry.description.section == section && entry.description.key == key;
        });
        if (known == this->table.end()) {
            this->fail(section, key, "is not a known setting");
        } else if (!this->given.emplace(section, key).second) {
            this->fail(section, key, "is given twice");
        } else if (auto problem = known->set(this->result, value); !problem.empty()) {
            this->fail(section, key, problem);
        }
    }

    void fail(std::string_view section, std::string_view key, std::string_view message)
    {
        this->found.push_back(
            {.section = std::string{section}, .key = std::string{key}, .message = std::string{message}});
    }

    const std::vector<setting<target>>& table;
    target result;
    std::vector<settings_error> found;
    std::set<std::pair<std::string, std::string>> given;
};

/// @brief The descriptions of a table, in its order.
template <class target>
std::vector<setting_description> describe(const std::vector<setting<target>>& table)
{
    std::vector<setting_description> result;
    result.reserve(table.size());
    for (const auto& entry : table) {
        result.push_back(entry.description);
    }
    return result;
}

} // namespace hibiscusfall::settings::detail
