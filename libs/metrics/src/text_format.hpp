#ifndef MASTICSHIFT_METRICS_TEXT_FORMAT_HPP
#define MASTICSHIFT_METRICS_TEXT_FORMAT_HPP

#include <metrics/registry.hpp>

#include <string>
#include <string_view>

namespace masticshift::metrics
{

/// Whether a name is valid for a label, or, with `allow_colon`, for a metric.
bool is_valid_name(std::string_view name, bool allow_colon);

/// The shortest text that parses to the same number.
std::string number_text(double value);

/// `name="value",...` with escaped values, without braces.
std::string label_text(labels const& labels);

/// A help text with backslashes and line feeds escaped.
std::string help_text(std::string_view help);

/// `NAME{LABELS} VALUE` and a line feed.
std::string sample_line(std::string_view name, std::string_view label_list,
                        std::string_view value);

/// All lines of one metric.
std::string series_text(std::string_view name, std::string_view label_list,
                        counter const& metric);
std::string series_text(std::string_view name, std::string_view label_list,
                        gauge const& metric);
std::string series_text(std::string_view name, std::string_view label_list,
                        latency_histogram const& metric);

} // namespace masticshift::metrics

#endif
