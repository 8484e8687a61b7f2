#ifndef MASTICSHIFT_CORE_LINE_BUFFER_HPP
#define MASTICSHIFT_CORE_LINE_BUFFER_HPP

#include <string>
#include <string_view>

namespace masticshift
{

/// Buffers lines for a descriptor and writes them without blocking.
class line_buffer
{
public:
    /// Adds a line. Drops and counts the line if the buffer is full.
    void push(std::string_view line);

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void write_to(int descriptor);

    /// Number of lines dropped so far.
    unsigned long dropped() const
    {
        return dropped_;
    }

private:
    std::string pending_;
    unsigned long dropped_ = 0;
};

} // namespace masticshift

#endif
