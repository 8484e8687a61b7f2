#include "input_text.hpp"

#include <array>
#include <fstream>
#include <iostream>

namespace masticshift::cli
{

namespace
{

constexpr std::size_t max_input_bytes = 64 << 20;
constexpr std::size_t chunk_bytes = 64 << 10;

outcome<std::string> read_stream(std::istream& stream, std::string const& path)
{
    std::string text;
    std::array<char, chunk_bytes> chunk{};
    while (stream)
    {
        stream.read(chunk.data(), chunk.size());
        text.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
        if (text.size() > max_input_bytes)
        {
            return failure{result_code::body_too_large,
                           path + " exceeds the limit of " +
                               std::to_string(max_input_bytes) + " bytes"};
        }
    }
    if (stream.bad())
        return failure{result_code::io_error, "cannot read " + path};
    return text;
}

} // namespace

outcome<std::string> read_input(std::string const& path)
{
    if (path == "-")
        return read_stream(std::cin, "the standard input");
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return failure{result_code::io_error, "cannot open " + path};
    return read_stream(file, path);
}

} // namespace masticshift::cli
