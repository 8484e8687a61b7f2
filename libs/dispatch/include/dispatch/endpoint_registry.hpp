#ifndef MASTICSHIFT_DISPATCH_ENDPOINT_REGISTRY_HPP
#define MASTICSHIFT_DISPATCH_ENDPOINT_REGISTRY_HPP

#include <core/time.hpp>
#include <dispatch/endpoint_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// A record and the version of the store at which it was written.
struct versioned_record
{
    endpoint_record record;
    std::int64_t version = 0;
};

struct registry_changes
{
    std::vector<endpoint_record> updated;
    std::vector<std::string> removed;
};

/// The endpoints that have registered themselves, as last read from the store.
///
/// Outages of the store let registrations lapse although the endpoints live.
/// An endpoint counts as gone only once it has been missing for a while during
/// which the store was read.
class endpoint_registry
{
public:
    void put(versioned_record entry);

    /// A row was dropped, or no longer describes an endpoint.
    void drop(std::string const& id, std::int64_t version, time_point now);

    /// A whole read of the store as of `version`.
    void replace(std::vector<versioned_record> entries, std::int64_t version,
                 time_point now);

    /// A read of the store has succeeded or failed.
    void note_read(bool succeeded, time_point now);

    /// What has changed since the last call.
    registry_changes take_changes(time_point now);

    std::vector<endpoint_record> records() const;

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        versioned_record known;
        std::optional<time_point> missing_since;
        bool changed = true;
    };

    std::map<std::string, entry> entries_;
    /// Start of the present span in which reads succeed.
    std::optional<time_point> readable_since_;
};

} // namespace masticshift::dispatch

#endif
