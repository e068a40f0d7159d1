#include "hibiscusfall/traffic/event_scanner.hpp"

#include <algorithm>
#include <cctype>
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

bool is_header_name(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char each) {
        return std::isalnum(each) != 0 || each == '-' || each == '_';
    });
}

bool is_event_field(std::string_view name)
{
    return name == "data" || name == "id" || name == "event" || name == "retry";
}

struct event_fields {
    std::optional<std::string_view> id;
    std::optional<bool> ends_with_cr; ///< Whether its fields end with CR LF; none without fields.
    bool has_data = false;
    bool has_headers = false;
    bool is_end = false;
};

/// Reads a line without its line end. Returns false if it cannot be part of the event.
bool read_line(event_fields& fields, std::string_view line, bool ends_with_cr)
{
    if (line.empty() || line.starts_with(':')) {
        return true;
    }
    const auto name = line.substr(0, line.find(':'));
    if (!is_event_field(name)) {
        // After a field, a header line may belong to the head of a response that was written into the event.
        fields.has_headers = true;
        return name.size() < line.size() && is_header_name(name) && !fields.ends_with_cr;
    }
    auto value = line.substr(std::min(name.size() + 1, line.size()));
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    const bool same_end = fields.ends_with_cr.value_or(ends_with_cr) == ends_with_cr;
    fields.ends_with_cr = ends_with_cr;
    if (name == "id") {
        return same_end && !std::exchange(fields.id, value);
    }
    if (name == "data") {
        fields.has_data = true;
        fields.is_end = fields.is_end || value == end_mark;
    }
    return same_end;
}

/// Returns nothing if the text is no event.
std::optional<event_fields> read_event(std::string_view text)
{
    event_fields fields;
    while (!text.empty()) {
        const auto length = std::min(text.find('\n'), text.size());
        auto line = text.substr(0, length);
        text.remove_prefix(std::min(length + 1, text.size()));
        const bool ends_with_cr = line.ends_with('\r');
        line.remove_suffix(ends_with_cr ? 1 : 0);
        if (!read_line(fields, line, ends_with_cr)) {
            return std::nullopt;
        }
    }
    if (fields.has_headers && !fields.has_data && !fields.id) {
        return std::nullopt;
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
    const auto read = read_event(text);
    if (!read) {
        return scan_fault::malformed;
    }
    const auto& fields = *read;
    auto& progress = scanner.progress;
    if (progress.ended && fields.has_data) {
        return scan_fault::after_end;
    }
    const auto number = fields.id ? to_number(*fields.id) : std::nullopt;
    const bool needs_number = !fields.is_end && (fields.has_data || fields.id);
    if (scanner.expected_id && (fields.has_data || fields.id)) {
        if (needs_number && number != scanner.expected_id) {
            return scan_fault::not_continued;
        }
        scanner.expected_id.reset();
    }
    const auto last_number = progress.last_id ? to_number(*progress.last_id) : std::nullopt;
    if (last_number && needs_number && (!number || *number <= *last_number)) {
        return scan_fault::id_not_increasing;
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
