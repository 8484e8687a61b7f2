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

/// A process that the test started. Only this process is ever signalled, by
/// its own id, and it is killed at the latest when the object goes.
class child_process
{
public:
    child_process() = default;
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// Starts `arguments[0]`. Standard error goes to a file.
    static outcome<child_process> start(std::vector<std::string> arguments,
                                        std::string const& error_path);

    /// Reads whole lines of the process's standard output up to one that
    /// starts with `prefix`, and gives them all. Fails with `io_error` when the
    /// output ends or the time is over.
    outcome<std::vector<std::string>> read_until(std::string const& prefix,
                                                 milliseconds patience);

    /// Does nothing once the process has ended.
    void signal(int number);
    void kill();

    /// The wait status, or nothing if it still runs after this time.
    std::optional<int> wait(milliseconds patience);

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
