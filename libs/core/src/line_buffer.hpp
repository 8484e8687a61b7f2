#ifndef MASTICSHIFT_CORE_LINE_BUFFER_HPP
#define MASTICSHIFT_CORE_LINE_BUFFER_HPP

#include <string>
#include <string_view>

namespace masticshift
{

/// Lines that wait to be written to a descriptor that must not block.
class line_buffer
{
public:
    /// Adds a line, or drops and counts it when too much waits.
    void push(std::string_view line);

    /// Writes what the descriptor takes at once.
    void write_to(int descriptor);

    unsigned long dropped() const
    {
        return dropped_;
    }

private:
    std::string waiting_;
    unsigned long dropped_ = 0;
};

} // namespace masticshift

#endif
