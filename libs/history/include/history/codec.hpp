#ifndef MASTICSHIFT_HISTORY_CODEC_HPP
#define MASTICSHIFT_HISTORY_CODEC_HPP

#include <core/outcome.hpp>
#include <history/event.hpp>

#include <boost/json/object.hpp>

#include <optional>
#include <string_view>

namespace masticshift::history
{

/// One line of a history.
struct line_content
{
    /// Wall time in microseconds.
    std::int64_t us = 0;
    std::string source;
    event content;
};

/// The event's own fields, to be given to `log_event`.
boost::json::object to_fields(event const& content);

/// Parses one line. Nothing for an event that is not part of a history. Fails
/// with `io_error` when the line is not such an object or lacks a field.
outcome<std::optional<line_content>> parse_line(std::string_view line);

/// Writes an event to the log of this process.
void write(event const& content);

/// As `write`, for a process that stands for several sources.
void write_as(std::string_view source, event const& content);

} // namespace masticshift::history

#endif
