#include "hibiscusfall/traffic/event_scanner.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hibiscusfall::traffic
{

namespace
{

constexpr std::string_view end_mark = "[DONE]";

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/// The value of a line "field: value" when it has this field.
std::optional<std::string_view> field_value(std::string_view line, std::string_view field)
{
    if (!line.starts_with(field) || line.size() <= field.size() || line[field.size()] != ':') {
        return std::nullopt;
    }
    auto value = line.substr(field.size() + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

struct event_fields {
    std::optional<std::string_view> id;
    bool has_data = false;
    bool is_end = false;
};

event_fields read_event(std::string_view text)
{
    event_fields fields;
    while (!text.empty()) {
        const auto length = std::min(text.find('\n'), text.size());
        auto line = text.substr(0, length);
        text.remove_prefix(std::min(length + 1, text.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (const auto id = field_value(line, "id")) {
            fields.id = id;
        } else if (const auto data = field_value(line, "data")) {
            fields.has_data = true;
            fields.is_end = fields.is_end || *data == end_mark;
        }
    }
    return fields;
}

/// The length of the first whole event, its blank line included; nothing while the end is not there.
std::optional<std::size_t> whole_event(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        const auto rest = text.substr(at + 1);
        if (rest.starts_with('\n')) {
            return at + 2;
        }
        if (rest.starts_with("\r\n")) {
            return at + 3;
        }
    }
    return std::nullopt;
}

scan_fault take_event(event_scanner& scanner, std::string_view text)
{
    const auto fields = read_event(text);
    auto& progress = scanner.progress;
    if (progress.ended && fields.has_data) {
        return scan_fault::after_end;
    }
    if (scanner.expected_id && (fields.has_data || fields.id)) {
        const auto number = fields.id ? to_number(*fields.id) : std::nullopt;
        if (!fields.is_end && number != scanner.expected_id) {
            return scan_fault::not_continued;
        }
        scanner.expected_id.reset();
    }
    if (fields.id) {
        progress.last_id = std::string{*fields.id};
    }
    progress.ended = progress.ended || fields.is_end;
    progress.tokens += fields.has_data && !fields.is_end ? 1 : 0;
    scanner.ready.append(text);
    return scan_fault::none;
}

} // namespace

scan_fault feed(event_scanner& scanner, std::string_view piece)
{
    scanner.ready.clear();
    // The last bytes before may belong to the blank line that ends an event.
    constexpr std::size_t longest_end = 3;
    std::size_t from = scanner.partial.size() - std::min(scanner.partial.size(), longest_end);
    scanner.partial.append(piece);
    std::string_view rest = scanner.partial;
    auto fault = scan_fault::none;
    while (fault == scan_fault::none) {
        const auto length = whole_event(rest, from);
        if (!length) {
            break;
        }
        fault = take_event(scanner, rest.substr(0, *length));
        rest.remove_prefix(*length);
        from = 0;
    }
    scanner.partial.erase(0, scanner.partial.size() - rest.size());
    if (fault == scan_fault::none && scanner.partial.size() > scanner.event_bytes) {
        return scan_fault::event_too_large;
    }
    return fault;
}

std::optional<event_scanner> continue_after(const stream_progress& delivered)
{
    const auto number = delivered.last_id ? to_number(*delivered.last_id) : std::nullopt;
    if (!number) {
        return std::nullopt;
    }
    return event_scanner{.progress = delivered, .expected_id = *number + 1};
}

} // namespace hibiscusfall::traffic
