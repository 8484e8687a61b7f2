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

/// The change that created a revision.
struct revision_origin
{
    std::uint64_t revision = 0;
    std::string change_id;
};

/// A configuration text that an operator applies. Each change has a new id; a
/// retry of the same change has the same id.
struct configuration_change
{
    std::string change_id;
    std::string text;
};

/// The configuration record in the platform's table.
struct configuration_record
{
    /// 0: no configuration was applied yet.
    std::uint64_t revision = 0;
    std::string text;
    /// The changes that created the latest revisions, oldest first, at most
    /// `max_recorded_changes`. The last one created `revision`.
    std::vector<revision_origin> changes;
};

inline constexpr std::size_t max_recorded_changes = 16;

/// What a record shows about a change that was meant to create a revision.
enum class change_state
{
    /// The revision does not exist yet.
    pending,
    applied,
    /// Another change created the revision.
    superseded,
    /// The record does not go back far enough to show which change created the
    /// revision.
    not_recorded
};

/// The state of the change `attempt.change_id`, which was meant to create the
/// revision `attempt.revision`.
change_state state_of(configuration_record const& record,
                      revision_origin const& attempt);

/// The revision that a change created, or nothing if the recorded changes do
/// not include it.
std::optional<std::uint64_t> revision_of(configuration_record const& record,
                                         std::string_view change_id);

/// The record after a change is applied to `previous`.
configuration_record next_record(configuration_record const& previous,
                                 configuration_change const& change);

std::string to_json(configuration_record const& record);

/// Fails with `platform_bad_answer`.
outcome<configuration_record> parse_record(std::string_view json);

} // namespace masticshift::store

#endif
