#include <core/log.hpp>

#include <boost/json/serialize.hpp>
#include <easylogging++.h>

#include "line_buffer.hpp"

#include <chrono>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace masticshift
{

namespace
{

log_settings active_settings;
line_buffer pending_lines;

void configure_library(log_settings const& settings)
{
    el::Configurations library;
    library.setToDefault();
    library.setGlobally(el::ConfigurationType::Format, "%msg");
    bool const to_file =
        !settings.path.empty() && settings.path != standard_output;
    library.setGlobally(el::ConfigurationType::ToFile,
                        to_file ? "true" : "false");
    library.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    if (to_file)
        library.setGlobally(el::ConfigurationType::Filename, settings.path);
    el::Loggers::reconfigureLogger("default", library);
}

std::int64_t wall_microseconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

void write_line(log_level level, std::string const& line)
{
    if (active_settings.path == standard_output)
    {
        pending_lines.push(line);
        return;
    }
    // Easylogging++ can log to standard output but not to standard error.
    if (active_settings.path.empty())
    {
        std::fprintf(stderr, "%s\n", line.c_str());
        return;
    }
    switch (level)
    {
    case log_level::debug:
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace

void flush_log()
{
    pending_lines.write_to(STDOUT_FILENO);
}

unsigned long dropped_log_lines()
{
    return pending_lines.dropped();
}

std::string_view name_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

void configure_log(log_settings const& settings)
{
    active_settings = settings;
    configure_library(settings);
}

void log_event(log_level level, std::string_view event,
               boost::json::object fields)
{
    if (!log_enabled(level))
        return;
    boost::json::object line;
    line["us"] = wall_microseconds();
    line["level"] = name_of(level);
    line["source"] = active_settings.source;
    line["event"] = event;
    for (auto& field : fields)
        line[field.key()] = std::move(field.value());
    write_line(level, boost::json::serialize(line));
}

bool log_enabled(log_level level)
{
    return level >= active_settings.lowest;
}

} // namespace masticshift
