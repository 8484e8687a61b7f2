#ifndef MASTICSHIFT_CORE_LOG_HPP
#define MASTICSHIFT_CORE_LOG_HPP

#include <boost/json/object.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace masticshift
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

std::string_view name_of(log_level level);

/// Value of `log_settings::path` that selects standard output.
inline constexpr std::string_view standard_output = "stdout";

/// Destination and level of the log of a process.
struct log_settings
{
    /// Name of the process in each line of the log, for example its address.
    std::string source;
    /// File to append to. Lines go to standard error when it is empty. With
    /// `standard_output`, lines are buffered until `flush_log` and dropped when
    /// the buffer is full.
    std::string path;
    /// Lines of lower levels are not written.
    log_level lowest = log_level::info;
};

/// Writes the lines that are buffered for standard output, as many as it
/// accepts without blocking. Must be called several times a second.
void flush_log();

/// Number of lines dropped so far because standard output was too slow.
unsigned long dropped_log_lines();

/// Sets up the log of this process. Call once, before the first line.
void configure_log(log_settings const& settings);

/// Writes one line: a JSON object with the wall time in microseconds (`us`),
/// the level, the source, the event and the given fields.
void log_event(log_level level, std::string_view event,
               boost::json::object fields = {});

/// Whether lines of this level are written. Lets callers avoid building fields
/// for a line that would not be written.
bool log_enabled(log_level level);

} // namespace masticshift

#endif
