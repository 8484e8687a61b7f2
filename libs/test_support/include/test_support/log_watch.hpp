#ifndef MASTICSHIFT_TEST_SUPPORT_LOG_WATCH_HPP
#define MASTICSHIFT_TEST_SUPPORT_LOG_WATCH_HPP

#include <core/time.hpp>

#include <string>
#include <vector>

namespace masticshift::test_support
{

/// Waits for events in the logs of running processes. Sees the lines that are
/// written after it was made.
class log_watch
{
public:
    explicit log_watch(std::vector<std::string> const& paths);

    /// Waits for a line with this event in any of the logs. False when the
    /// time is over.
    bool wait_for(std::string const& event, milliseconds patience);

private:
    struct watched_file
    {
        std::string path;
        std::streamoff seen = 0;
    };

    bool find(std::string const& event);

    std::vector<watched_file> files_;
};

/// Lines of a log that have this event.
std::size_t count_events(std::string const& path, std::string const& event);

} // namespace masticshift::test_support

#endif
