#include <placement/slot_ownership.hpp>

#include "stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticshift::placement
{

bool slot_ownership::set_entries(std::vector<entry_share> entries)
{
    std::ranges::sort(entries, {}, &entry_share::address);
    if (entries == entries_)
        return false;
    entries_ = std::move(entries);
    hashed_.clear();
    for (auto const& entry : entries_)
        hashed_.push_back({stable_hash(entry.address), entry});
    return true;
}

bool slot_ownership::has_entry_in(std::string_view data_centre) const
{
    return std::ranges::any_of(entries_,
                               [&](entry_share const& entry)
                               {
                                   return entry.data_centre == data_centre;
                               });
}

std::string_view slot_ownership::owner(std::string_view endpoint,
                                       std::string_view data_centre,
                                       unsigned slot) const
{
    auto const slot_hash = stable_hash(endpoint, slot);
    bool const local = has_entry_in(data_centre);
    std::string_view best;
    double best_score = 0;
    for (auto const& entry : hashed_)
    {
        if (local && entry.share.data_centre != data_centre)
            continue;
        auto const uniform =
            to_unit_interval(stable_hash(slot_hash, entry.hash));
        double const score = -entry.share.weight / std::log(uniform);
        if (best.empty() || score > best_score)
        {
            best = entry.share.address;
            best_score = score;
        }
    }
    return best;
}

} // namespace masticshift::placement
