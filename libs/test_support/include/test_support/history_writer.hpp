#ifndef MASTICSHIFT_TEST_SUPPORT_HISTORY_WRITER_HPP
#define MASTICSHIFT_TEST_SUPPORT_HISTORY_WRITER_HPP

#include <history/event.hpp>

#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace masticshift::test_support
{

/// Writes the history events of callers, operators and the test to one file.
/// Members may be called on any thread.
class history_writer
{
public:
    explicit history_writer(std::string const& path);

    void write(std::string_view source, history::event const& content);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace masticshift::test_support

#endif
