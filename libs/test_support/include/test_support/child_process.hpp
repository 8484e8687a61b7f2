#ifndef MASTICSHIFT_TEST_SUPPORT_CHILD_PROCESS_HPP
#define MASTICSHIFT_TEST_SUPPORT_CHILD_PROCESS_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace masticshift::test_support
{

/// A process that the test started. Signals go only to this process, by its id.
/// The destructor kills it if it still runs.
class child_process
{
public:
    child_process() = default;
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// Starts the program `arguments[0]`, with standard error in a file.
    static outcome<child_process> start(std::vector<std::string> arguments,
                                        std::string const& error_path);

    /// Reads lines of the process's standard output up to and including one
    /// that starts with `prefix`, and returns them. Fails with `io_error` when
    /// the output ends or the timeout passes.
    outcome<std::vector<std::string>> read_until(std::string const& prefix,
                                                 milliseconds timeout);

    /// Sends a signal, unless the process has ended.
    void signal(int number);
    void kill();

    /// The wait status, or nothing if the process still runs after the
    /// timeout.
    std::optional<int> wait(milliseconds timeout);

    bool is_running();
    pid_t pid() const;

private:
    void close_output();

    pid_t pid_ = -1;
    int output_ = -1;
    std::optional<int> status_;
};

} // namespace masticshift::test_support

#endif
