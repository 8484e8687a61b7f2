#ifndef MASTICSHIFT_HOMES_HANDOVER_HPP
#define MASTICSHIFT_HOMES_HANDOVER_HPP

#include <homes/body_digest.hpp>
#include <homes/kept_answer.hpp>
#include <homes/submission_id.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticshift::homes
{

/// One id with its answer, which every later copy of the submission gets.
struct handover_record
{
    submission_id id;
    body_digest digest;
    answer_ptr answer;
};

/// Identifies the submission table of a stopped process and its extent.
struct handover_header
{
    process_name process;
    /// Ids of older generations may have run, but their records were evicted.
    std::uint32_t oldest_generation = 0;
    std::uint32_t newest_generation = 0;
    /// Number of records of the whole table. A successor that holds fewer must
    /// not report `not_run` for an id that it doesn't find.
    std::size_t record_count = 0;

    friend bool operator==(handover_header const&,
                           handover_header const&) = default;
};

/// The whole table of a stopped process.
struct handover_table
{
    handover_header header;
    std::vector<handover_record> records;
};

/// A piece of a `handover_table` that fits into one message.
struct handover_part
{
    handover_header header;
    /// True for the part that is sent after all others.
    bool last = false;
    std::vector<handover_record> records;
};

/// Limits of one part. A single record that exceeds them gets its own part.
struct handover_part_limits
{
    std::size_t max_records = 4'096;
    std::size_t max_answer_bytes = 1 << 20;
};

/// Splits a table into one or more parts.
std::vector<handover_part> split_into_parts(handover_table const& table,
                                            handover_part_limits const& limits);

} // namespace masticshift::homes

#endif
