#include "line_buffer.hpp"

#include <doctest/doctest.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace masticshift;

TEST_CASE("lines for a full descriptor are buffered, and dropped at a limit")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    line_buffer buffer;
    std::string const line(1'000, 'x');
    for (int i = 0; i < 3'000; ++i)
    {
        buffer.push(line);
        // Must not block although nothing reads from the pipe.
        buffer.write_to(pipe_ends[1]);
    }
    CHECK(buffer.dropped() > 0);
    std::array<char, 4'096> read{};
    CHECK(::read(pipe_ends[0], read.data(), read.size()) == 4'096);
    CHECK(std::string(read.data(), 1'000) == line);
    CHECK(read[1'000] == '\n');
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
}
