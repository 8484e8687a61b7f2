#include <dispatch/evacuation_list.hpp>

#include <algorithm>
#include <utility>

namespace masticshift::dispatch
{

std::vector<evacuation_change>
evacuation_list::replace(std::vector<evacuation_row> const& rows,
                         std::int64_t version)
{
    std::vector<evacuation_change> changes;
    if (version < version_)
        return changes;
    auto const former = std::exchange(entries_, {});
    for (auto const& row : rows)
    {
        if (!row.removed)
            entries_[row.data_centre] = {row.version, true};
    }
    complete_at_ = version;
    version_ = version;
    for (auto const& [data_centre, known] : former)
    {
        if (known.evacuated && !contains(data_centre))
            changes.push_back({data_centre, false});
    }
    for (auto const& [data_centre, known] : entries_)
    {
        auto const before = former.find(data_centre);
        if (before == former.end() || !before->second.evacuated)
            changes.push_back({data_centre, true});
    }
    return changes;
}

std::vector<evacuation_change>
evacuation_list::apply(std::vector<evacuation_row> const& rows,
                       std::int64_t version)
{
    std::vector<evacuation_change> changes;
    for (auto const& row : rows)
    {
        if (row.version <= complete_at_)
            continue;
        auto& known = entries_[row.data_centre];
        if (row.version < known.version)
            continue;
        known.version = row.version;
        version_ = std::max(version_, row.version);
        if (std::exchange(known.evacuated, !row.removed) == row.removed)
            changes.push_back({row.data_centre, !row.removed});
    }
    version_ = std::max(version_, version);
    return changes;
}

bool evacuation_list::contains(std::string const& data_centre) const
{
    auto const known = entries_.find(data_centre);
    return known != entries_.end() && known->second.evacuated;
}

std::vector<std::string> evacuation_list::data_centres() const
{
    std::vector<std::string> all;
    for (auto const& [data_centre, known] : entries_)
    {
        if (known.evacuated)
            all.push_back(data_centre);
    }
    return all;
}

} // namespace masticshift::dispatch
