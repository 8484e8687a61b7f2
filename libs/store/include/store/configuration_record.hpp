#ifndef MASTICSHIFT_STORE_CONFIGURATION_RECORD_HPP
#define MASTICSHIFT_STORE_CONFIGURATION_RECORD_HPP

#include <core/outcome.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::store
{

/// Which change made a revision.
struct revision_origin
{
    std::uint64_t revision = 0;
    std::string change_id;
};

/// A text that an operator applies. The id is new for each change and repeats
/// where the same change is applied again.
struct configuration_change
{
    std::string change_id;
    std::string text;
};

/// The configuration in the platform's table.
struct configuration_record
{
    /// 0: none was applied yet.
    std::uint64_t revision = 0;
    std::string text;
    /// The changes that made the last revisions, oldest first, at most
    /// `max_recorded_changes`. The last one made `revision`.
    std::vector<revision_origin> changes;
};

inline constexpr std::size_t max_recorded_changes = 16;

/// What a record tells about a change that tried to make a revision.
enum class change_state
{
    /// The revision has not been made yet.
    pending,
    applied,
    /// Another change made the revision.
    superseded,
    /// The record no longer tells which change made the revision.
    forgotten
};

change_state state_of(configuration_record const& record,
                      revision_origin const& attempt);

/// The revision that a change has made, as far as the record goes back.
std::optional<std::uint64_t> revision_of(configuration_record const& record,
                                         std::string_view change_id);

/// The record that follows when a change is applied.
configuration_record next_record(configuration_record const& previous,
                                 configuration_change const& change);

std::string to_json(configuration_record const& record);

/// Fails with `platform_bad_answer`.
outcome<configuration_record> parse_record(std::string_view json);

} // namespace masticshift::store

#endif
