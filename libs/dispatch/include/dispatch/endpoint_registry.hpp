#ifndef MASTICSHIFT_DISPATCH_ENDPOINT_REGISTRY_HPP
#define MASTICSHIFT_DISPATCH_ENDPOINT_REGISTRY_HPP

#include <core/time.hpp>
#include <dispatch/endpoint_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

/// The registered endpoints, as last read from the store.
///
/// During an outage of the store registrations expire although the endpoints
/// are running. An endpoint is therefore removed only after it has been missing
/// for a while during which reads of the store succeeded.
class endpoint_registry
{
public:
    void put(versioned_record entry);

    /// Marks an endpoint as missing: its row was deleted, or no longer
    /// describes an endpoint.
    void drop(std::string const& id, std::int64_t version, time_point now);

    /// Applies a complete read of the store as of `version`: endpoints that it
    /// lacks count as missing.
    void replace(std::vector<versioned_record> entries, std::int64_t version,
                 time_point now);

    /// Records whether a read of the store, begun at `begun`, succeeded.
    void record_read(bool succeeded, time_point begun, time_point now);

    /// When the last successful read began.
    std::optional<time_point> last_read() const
    {
        return last_read_;
    }

    /// Until when new work may be started by what was read last. Unlimited
    /// once reads have failed for a while: endpoints are used as last known
    /// then.
    time_point usable_until(time_point now) const;

    /// The changes since the last call.
    registry_changes take_changes(time_point now);

    std::vector<endpoint_record> records() const;

    /// Whether any endpoint of this data centre is known.
    bool has_endpoints_in(std::string const& data_centre) const;

    /// The data centres with endpoints of this service.
    std::set<std::string> data_centres_of(std::string const& service) const;

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
    /// Since when all reads have succeeded. Empty: the last one failed.
    std::optional<time_point> readable_since_;
    /// When the first read began that failed since the last successful one.
    std::optional<time_point> unreadable_since_;
    std::optional<time_point> last_read_;
};

} // namespace masticshift::dispatch

#endif
