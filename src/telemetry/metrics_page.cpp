#include "hibiscusfall/telemetry/metrics_page.hpp"

#include <array>
#include <cstdio>

namespace hibiscusfall::telemetry
{

namespace
{

std::string to_number(double value)
{
    std::array<char, 32> digits{};
    const int length = std::snprintf(digits.data(), digits.size(), "%.12g", value);
    return {digits.data(), static_cast<std::size_t>(length)};
}

void append_label(std::string& out, std::string_view name, std::string_view value)
{
    out += out.ends_with('{') ? "" : ",";
    out += name;
    out += "=\"";
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            out += '\\';
        }
        if (character == '\n') {
            out += "\\n";
        } else {
            out += character;
        }
    }
    out += '"';
}

} // namespace

void metrics_page::counter(std::string_view name, std::string_view help, metric_labels labels, double value)
{
    this->write_header(name, help, "counter");
    this->write_sample(name, labels, {}, value);
}

void metrics_page::gauge(std::string_view name, std::string_view help, metric_labels labels, double value)
{
    this->write_header(name, help, "gauge");
    this->write_sample(name, labels, {}, value);
}

void metrics_page::histogram(std::string_view name,
                             std::string_view help,
                             metric_labels labels,
                             const latency_snapshot& value)
{
    this->write_header(name, help, "histogram");
    const auto bucket_metric = std::string{name} + "_bucket";
    std::uint64_t previous = 0;
    for (const auto& bucket : value.buckets) {
        // Omits empty buckets, which carry no information in a cumulative histogram.
        if (bucket.cumulative_count != previous) {
            const auto bound = to_number(bucket.upper_seconds);
            this->write_sample(
                bucket_metric, labels, {"le", bound}, static_cast<double>(bucket.cumulative_count));
        }
        previous = bucket.cumulative_count;
    }
    this->write_sample(bucket_metric, labels, {"le", "+Inf"}, static_cast<double>(value.count));
    this->write_sample(std::string{name} + "_sum", labels, {}, value.sum_seconds);
    this->write_sample(std::string{name} + "_count", labels, {}, static_cast<double>(value.count));
}

void metrics_page::write_header(std::string_view name, std::string_view help, std::string_view type)
{
    if (this->last_name == name) {
        return;
    }
    this->last_name = name;
    this->output.append("# HELP ").append(name).append(" ").append(help).append("\n");
    this->output.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void metrics_page::write_sample(std::string_view name,
                                metric_labels labels,
                                std::pair<std::string_view, std::string_view> last_label,
                                double value)
{
    this->output += name;
    if (labels.size() > 0 || !last_label.first.empty()) {
        this->output += '{';
        for (const auto& [label, text] : labels) {
            append_label(this->output, label, text);
        }
        if (!last_label.first.empty()) {
            append_label(this->output, last_label.first, last_label.second);
        }
        this->output += '}';
    }
    this->output.append(" ").append(to_number(value)).append("\n");
}

} // namespace hibiscusfall::telemetry
