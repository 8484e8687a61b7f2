#include "line_buffer.hpp"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace masticshift
{

namespace
{

/// Holds the log lines of about 1 s at 5,000 placement decisions per second.
constexpr std::size_t max_pending_bytes = 1 << 20;

/// A pipe that `poll` reports as writable accepts this many bytes without
/// blocking.
constexpr std::size_t pipe_bytes = 4'096;

bool is_writable(int descriptor)
{
    pollfd polled{descriptor, POLLOUT, 0};
    return ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
}

} // namespace

void line_buffer::push(std::string_view line)
{
    if (pending_.size() + line.size() >= max_pending_bytes)
    {
        ++dropped_;
        return;
    }
    pending_.append(line);
    pending_.push_back('\n');
}

void line_buffer::write_to(int descriptor)
{
    std::size_t written = 0;
    while (written < pending_.size() && is_writable(descriptor))
    {
        auto const length = std::min(pending_.size() - written, pipe_bytes);
        auto const result =
            ::write(descriptor, pending_.data() + written, length);
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    pending_.erase(0, written);
}

} // namespace masticshift
