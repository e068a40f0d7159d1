#pragma once

#include "hibiscusfall/telemetry/latency_recorder.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscusfall::telemetry
{

/// @brief The labels of a sample, as pairs of name and value.
using metric_labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

/// @brief Renders metrics in the Prometheus text exposition format, version 0.0.4.
/// @remarks Samples of one metric must be added consecutively; the first also writes its HELP and TYPE lines.
///
/// @code
/// metrics_page page;
/// page.counter("hibiscusfall_requests_total", "Requests by outcome.", {{"outcome", "ran"}}, 12);
/// respond(metrics_page::content_type, page.text());
/// @endcode
class metrics_page
{
public:
    static constexpr std::string_view content_type = "text/plain; version=0.0.4; charset=utf-8";

    /// @name Adding samples
    void counter(std::string_view name, std::string_view help, metric_labels labels, double value);
    void gauge(std::string_view name, std::string_view help, metric_labels labels, double value);

    /// @brief Adds a histogram of durations, in seconds.
    void histogram(std::string_view name,
                   std::string_view help,
                   metric_labels labels,
                   const latency_snapshot& value);

    /// @name Result
    [[nodiscard]] const std::string& text() const noexcept { return this->output; }

private:
    void write_header(std::string_view name, std::string_view help, std::string_view type);
    void write_sample(std::string_view name,
                      metric_labels labels,
                      std::pair<std::string_view, std::string_view> last_label,
                      double value);

    std::string output;
    std::string last_name;
};

} // namespace hibiscusfall::telemetry
