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
struct parsed_line
{
    /// Wall time in microseconds.
    std::int64_t us = 0;
    std::string source;
    event content;
};

/// The fields of the event in the form that `log_event` takes.
boost::json::object to_fields(event const& content);

/// Parses one line. Returns nothing for an event that is not part of a history.
/// Fails with `io_error` when the line is not a JSON object or when a field is
/// missing or has a bad value.
outcome<std::optional<parsed_line>> parse_record_line(std::string_view line);

/// Writes an event to the log of this process.
void write(event const& content);

/// As `write`, for a process that writes events of several sources.
void write_as(std::string_view source, event const& content);

} // namespace masticshift::history

#endif
