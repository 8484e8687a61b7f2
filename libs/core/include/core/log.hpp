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

/// Path in `log_settings` that stands for standard output.
inline constexpr std::string_view standard_output = "stdout";

/// Where and what a process logs.
struct log_settings
{
    /// Name of the process in each line, for example its address.
    std::string source;
    /// File to append to. Standard error when empty. `stdout`: lines are kept
    /// until `flush_log` and dropped when too many wait.
    std::string path;
    log_level lowest = log_level::info;
};

/// Writes lines that wait for standard output, as many as it takes without
/// blocking. Call it several times a second.
void flush_log();

/// Lines that were dropped so far because standard output was too slow.
unsigned long dropped_log_lines();

/// Sets up the log of this process. Call once, before the first line.
void configure_log(log_settings const& settings);

/// Writes one line: a JSON object with the wall time in microseconds (`us`),
/// the level, the source, the event and the given fields.
void log_event(log_level level, std::string_view event,
               boost::json::object fields = {});

/// Whether lines of this level are written; saves the cost of the fields.
bool log_enabled(log_level level);

} // namespace masticshift

#endif
