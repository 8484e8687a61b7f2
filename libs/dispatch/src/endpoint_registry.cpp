#include <dispatch/endpoint_registry.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// Running endpoints register again within two seconds after the store becomes
/// available.
constexpr milliseconds removal_delay{2'500};

/// An endpoint must get no new work two seconds after it has reported that it
/// drains. A start order may be repeated for half a second.
constexpr milliseconds longest_use{1'000};

/// Reads that fail for this long are taken for an outage of the store. A failed
/// read is repeated sooner.
constexpr milliseconds outage_after{500};

} // namespace

void endpoint_registry::put(versioned_record updated)
{
    auto const id = updated.record.id;
    auto const found = entries_.find(id);
    if (found == entries_.end())
    {
        entries_.emplace(id, entry{std::move(updated), std::nullopt, true});
        return;
    }
    auto& known = found->second;
    // A read may return data that is seconds old.
    if (updated.version < known.known.version)
        return;
    known.missing_since.reset();
    if (!(updated.record == known.known.record))
        known.changed = true;
    known.known = std::move(updated);
}

void endpoint_registry::drop(std::string const& id, std::int64_t version,
                             time_point now)
{
    auto const found = entries_.find(id);
    if (found == entries_.end() || version < found->second.known.version)
        return;
    found->second.known.version = version;
    if (!found->second.missing_since)
        found->second.missing_since = now;
}

void endpoint_registry::replace(std::vector<versioned_record> entries,
                                std::int64_t version, time_point now)
{
    std::set<std::string> present;
    for (auto& each : entries)
    {
        present.insert(each.record.id);
        put(std::move(each));
    }
    for (auto const& [id, known] : entries_)
    {
        if (!present.contains(id))
            drop(id, version, now);
    }
}

void endpoint_registry::record_read(bool succeeded, time_point begun,
                                    time_point now)
{
    if (succeeded)
    {
        last_read_ = begun;
        unreadable_since_.reset();
    }
    else if (!unreadable_since_)
    {
        unreadable_since_ = begun;
    }
    if (!succeeded)
        readable_since_.reset();
    else if (!readable_since_)
        readable_since_ = now;
}

time_point endpoint_registry::usable_until(time_point now) const
{
    bool const outage =
        unreadable_since_ && now - *unreadable_since_ >= outage_after;
    return last_read_ && !outage ? *last_read_ + longest_use
                                 : time_point::max();
}

registry_changes endpoint_registry::take_changes(time_point now)
{
    registry_changes changes;
    for (auto each = entries_.begin(); each != entries_.end();)
    {
        auto& known = each->second;
        bool const removable = known.missing_since && readable_since_ &&
                               now - *known.missing_since > removal_delay &&
                               now - *readable_since_ > removal_delay;
        if (removable)
        {
            changes.removed.push_back(each->first);
            each = entries_.erase(each);
            continue;
        }
        if (std::exchange(known.changed, false))
        {
            auto record = known.known.record;
            if (record.cold_left > milliseconds(0))
                record.cold_until = now + record.cold_left;
            changes.updated.push_back(std::move(record));
        }
        ++each;
    }
    return changes;
}

std::vector<endpoint_record> endpoint_registry::records() const
{
    std::vector<endpoint_record> all;
    for (auto const& [id, known] : entries_)
        all.push_back(known.known.record);
    return all;
}

std::set<std::string>
endpoint_registry::data_centres_of(std::string const& service) const
{
    std::set<std::string> found;
    for (auto const& [id, known] : entries_)
    {
        if (known.known.record.service == service)
            found.insert(known.known.record.data_centre);
    }
    return found;
}

bool endpoint_registry::has_endpoints_in(std::string const& data_centre) const
{
    return std::ranges::any_of(entries_,
                               [&](auto const& each)
                               {
                                   auto const& record =
                                       each.second.known.record;
                                   return record.data_centre == data_centre;
                               });
}

} // namespace masticshift::dispatch
