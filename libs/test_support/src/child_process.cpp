#include <test_support/child_process.hpp>

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <thread>
#include <utility>

namespace masticshift::test_support
{

namespace
{

constexpr milliseconds poll_interval{2};
constexpr milliseconds kill_timeout{5'000};
constexpr int error_file_mode = 0644;

failure process_failure(std::string const& what, int error)
{
    return {result_code::io_error, what + ": " + std::strerror(error)};
}

/// File descriptors of the new process: standard output goes to the pipe and
/// standard error to a file.
class spawn_files
{
public:
    spawn_files(int output, std::string const& error_path)
    {
        posix_spawn_file_actions_init(&actions_);
        posix_spawn_file_actions_adddup2(&actions_, output, STDOUT_FILENO);
        posix_spawn_file_actions_addopen(
            &actions_, STDERR_FILENO, error_path.c_str(),
            O_WRONLY | O_CREAT | O_APPEND, error_file_mode);
        // An inherited copy of a socket would keep a connection open that the
        // test has closed.
        posix_spawn_file_actions_addclosefrom_np(&actions_, STDERR_FILENO + 1);
    }

    ~spawn_files()
    {
        posix_spawn_file_actions_destroy(&actions_);
    }

    spawn_files(spawn_files const&) = delete;
    spawn_files& operator=(spawn_files const&) = delete;

    posix_spawn_file_actions_t const* get() const
    {
        return &actions_;
    }

private:
    posix_spawn_file_actions_t actions_{};
};

/// Appends output that arrives within the timeout. False at the end of the
/// output or after the timeout.
bool read_some(int file, std::string& buffer, milliseconds timeout)
{
    pollfd watched{file, POLLIN, 0};
    if (poll(&watched, 1, static_cast<int>(timeout.count())) <= 0)
        return false;
    char bytes[4'096];
    auto const count = ::read(file, bytes, sizeof bytes);
    if (count <= 0)
        return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

} // namespace

child_process::~child_process()
{
    if (is_running())
    {
        kill();
        wait(kill_timeout);
    }
    close_output();
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      output_(std::exchange(other.output_, -1)),
      status_(other.status_)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(output_, other.output_);
    std::swap(status_, other.status_);
    return *this;
}

outcome<child_process> child_process::start(std::vector<std::string> arguments,
                                            std::string const& error_path)
{
    int pipe_ends[2] = {-1, -1};
    if (pipe2(pipe_ends, O_CLOEXEC) != 0)
        return process_failure("pipe", errno);
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    child_process started;
    started.output_ = pipe_ends[0];
    spawn_files const files(pipe_ends[1], error_path);
    auto const error = posix_spawn(&started.pid_, pointers[0], files.get(),
                                   nullptr, pointers.data(), environ);
    close(pipe_ends[1]);
    if (error != 0)
    {
        started.pid_ = -1;
        return process_failure("cannot start " + arguments[0], error);
    }
    return started;
}

outcome<std::vector<std::string>>
child_process::read_until(std::string const& prefix, milliseconds timeout)
{
    auto const limit = steady_clock::now() + timeout;
    std::vector<std::string> lines;
    std::string buffer;
    while (true)
    {
        auto const end = buffer.find('\n');
        if (end != std::string::npos)
        {
            lines.push_back(buffer.substr(0, end));
            buffer.erase(0, end + 1);
            if (lines.back().starts_with(prefix))
                return lines;
            continue;
        }
        auto const left = std::chrono::duration_cast<milliseconds>(
            limit - steady_clock::now());
        if (left.count() <= 0 || !read_some(output_, buffer, left))
            return failure{result_code::io_error,
                           "the process printed no line that starts with '" +
                               prefix + "'"};
    }
}

void child_process::signal(int number)
{
    if (is_running())
        ::kill(pid_, number);
}

void child_process::kill()
{
    signal(SIGKILL);
}

std::optional<int> child_process::wait(milliseconds timeout)
{
    auto const limit = steady_clock::now() + timeout;
    while (is_running() && steady_clock::now() < limit)
        std::this_thread::sleep_for(poll_interval);
    return status_;
}

bool child_process::is_running()
{
    if (pid_ < 0 || status_)
        return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_)
        status_ = status;
    return !status_;
}

pid_t child_process::pid() const
{
    return pid_;
}

void child_process::close_output()
{
    if (output_ >= 0)
        close(output_);
    output_ = -1;
}

} // namespace masticshift::test_support
