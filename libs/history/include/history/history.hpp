#ifndef MASTICSHIFT_HISTORY_HISTORY_HPP
#define MASTICSHIFT_HISTORY_HISTORY_HPP

#include <core/outcome.hpp>
#include <history/event.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::history
{

/// One event and the line of the file that it was read from.
struct record
{
    /// Wall time in microseconds.
    std::int64_t us = 0;
    std::string source;
    event content;
    /// Index in `recorded_history::files`.
    std::uint32_t file = 0;
    std::uint32_t line = 0;
};

/// The events that several processes recorded. The records of one source are in
/// the order in which it wrote them.
struct recorded_history
{
    std::vector<std::string> files;
    std::vector<record> records;
};

/// Reads files of JSON lines. An incomplete last line of a file is dropped: a
/// process that is killed leaves one. Fails with `io_error`; the detail names
/// the file and line.
outcome<recorded_history> read_history(std::vector<std::string> const& paths);

/// Describes a record as `FILE:LINE event`.
std::string describe(recorded_history const& history, record const& where);

} // namespace masticshift::history

#endif
