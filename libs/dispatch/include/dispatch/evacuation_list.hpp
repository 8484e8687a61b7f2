#ifndef MASTICSHIFT_DISPATCH_EVACUATION_LIST_HPP
#define MASTICSHIFT_DISPATCH_EVACUATION_LIST_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// A row of the store that evacuates a data centre, or its removal.
struct evacuation_row
{
    std::string data_centre;
    /// Version of the store at which the row was written or removed.
    std::int64_t version = 0;
    bool removed = false;
};

/// An evacuation that has begun or ended.
struct evacuation_change
{
    std::string data_centre;
    bool evacuated = false;
};

/// The data centres in which nothing may be started. Never goes back to an
/// older version of the store.
class evacuation_list
{
public:
    /// Applies a complete list of rows, as read at this version of the store.
    /// Ignored if the list is newer. Returns what has changed.
    std::vector<evacuation_change>
    replace(std::vector<evacuation_row> const& rows, std::int64_t version);

    /// Applies all changes up to this version of the store since an earlier
    /// read. Returns what has changed.
    std::vector<evacuation_change>
    apply(std::vector<evacuation_row> const& rows, std::int64_t version);

    bool contains(std::string const& data_centre) const;

    /// Ordered by name.
    std::vector<std::string> data_centres() const;

    /// Version of the store at which the list was complete. 0: never read.
    std::int64_t version() const
    {
        return version_;
    }

private:
    struct entry
    {
        std::int64_t version = 0;
        bool evacuated = false;
    };

    /// Includes data centres whose row was removed, until a complete list
    /// without the row is applied.
    std::map<std::string, entry> entries_;
    /// Version of the last complete list. Older changes are in it already.
    std::int64_t complete_at_ = 0;
    std::int64_t version_ = 0;
};

} // namespace masticshift::dispatch

#endif
