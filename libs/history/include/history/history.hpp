#ifndef MASTICSHIFT_HISTORY_HISTORY_HPP
#define MASTICSHIFT_HISTORY_HISTORY_HPP

#include <core/outcome.hpp>
#include <history/event.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::history
{

/// One event with its place in the files.
struct record
{
    /// Wall time in microseconds.
    std::int64_t us = 0;
    std::string source;
    event content;
    std::uint32_t file = 0;
    std::uint32_t line = 0;
};

/// All that several processes recorded. The records of one source stand in
/// the order in which it wrote them.
struct recorded_history
{
    std::vector<std::string> files;
    std::vector<record> records;
};

/// Reads files of JSON lines. A last line without its end is dropped: its
/// writer was killed. Fails with `io_error`, naming the file and line.
outcome<recorded_history> read_history(std::vector<std::string> const& paths);

/// `FILE:LINE event` of a record.
std::string describe(recorded_history const& history, record const& where);

} // namespace masticshift::history

#endif
