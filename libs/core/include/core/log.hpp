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

/// Where and what a process logs.
struct log_settings
{
    /// Name of the process in each line, for example its address.
    std::string source;
    /// File to append to. Standard error when empty.
    std::string path;
    log_level lowest = log_level::info;
};

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
