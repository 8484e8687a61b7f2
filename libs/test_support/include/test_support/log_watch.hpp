#ifndef MASTICSHIFT_TEST_SUPPORT_LOG_WATCH_HPP
#define MASTICSHIFT_TEST_SUPPORT_LOG_WATCH_HPP

#include <core/time.hpp>

#include <string>
#include <vector>

namespace masticshift::test_support
{

/// Waits for events in the logs of running processes. Considers only lines that
/// are written after its construction.
class log_watch
{
public:
    explicit log_watch(std::vector<std::string> const& paths);

    /// Waits for a line with this event in any of the logs. False if the
    /// timeout passes first.
    bool wait_for(std::string const& event, milliseconds timeout);

private:
    struct watched_file
    {
        std::string path;
        std::streamoff read_offset = 0;
    };

    bool find(std::string const& event);

    std::vector<watched_file> files_;
};

/// Number of lines of a log that have this event.
std::size_t count_events(std::string const& path, std::string const& event);

} // namespace masticshift::test_support

#endif
