#ifndef PLATFORM_STANDIN_HISTORY_FILE_HPP
#define PLATFORM_STANDIN_HISTORY_FILE_HPP

#include <core/outcome.hpp>

#include <boost/json/object.hpp>

#include <fstream>
#include <string>
#include <string_view>

namespace platform_standin
{

/// Appends events to a history file, in the format of `log_event`. Writes
/// nothing if the path is empty.
class history_file
{
public:
    masticshift::outcome<void> open(std::string const& path);
    void write(std::string_view event, boost::json::object fields);

private:
    std::ofstream file_;
};

} // namespace platform_standin

#endif
