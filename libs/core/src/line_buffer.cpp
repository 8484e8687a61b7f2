#include "line_buffer.hpp"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace masticshift
{

namespace
{

/// Lines of about a second at 5,000 decisions a second.
constexpr std::size_t most_waiting_bytes = 1 << 20;

/// A pipe that is ready to be written takes this much without blocking.
constexpr std::size_t pipe_bytes = 4'096;

bool is_writable(int descriptor)
{
    pollfd polled{descriptor, POLLOUT, 0};
    return ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
}

} // namespace

void line_buffer::push(std::string_view line)
{
    if (waiting_.size() + line.size() >= most_waiting_bytes)
    {
        ++dropped_;
        return;
    }
    waiting_.append(line);
    waiting_.push_back('\n');
}

void line_buffer::write_to(int descriptor)
{
    std::size_t written = 0;
    while (written < waiting_.size() && is_writable(descriptor))
    {
        auto const length = std::min(waiting_.size() - written, pipe_bytes);
        auto const result =
            ::write(descriptor, waiting_.data() + written, length);
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    waiting_.erase(0, written);
}

} // namespace masticshift
