#include <membership/succession_table.hpp>

#include "is_recent.hpp"
#include "item_digest.hpp"

#include <algorithm>

namespace masticshift::membership
{

succession_table::succession_table(milliseconds retention)
    : retention_(retention)
{
}

bool succession_table::add(succession const& entry, time_point now)
{
    if (entry.age >= retention_ || entry.stopped == entry.successor)
        return false;
    auto const [found, added] = records_.try_emplace(entry.stopped);
    auto& record = found->second;
    // The highest number of handovers wins. If two entries ever claim the same
    // ids with equal numbers, the successor with the lower address wins, so
    // that all entries choose the same one.
    auto const later = added || entry.handovers > record.handovers ||
                       (entry.handovers == record.handovers &&
                        entry.successor < record.successor);
    if (!later)
        return false;
    record = {entry.successor, entry.handovers, now - entry.age, now};
    if (records_.size() > max_entries)
        drop_oldest();
    return true;
}

void succession_table::drop_oldest()
{
    auto const oldest =
        std::ranges::min_element(records_, {},
                                 [](auto const& entry)
                                 {
                                     return entry.second.handed_over_at;
                                 });
    records_.erase(oldest);
}

std::optional<process_id>
succession_table::successor_of(process_id const& stopped) const
{
    auto const found = records_.find(stopped);
    if (found == records_.end())
        return std::nullopt;
    return found->second.successor;
}

int succession_table::handovers_of(process_id const& stopped) const
{
    auto const found = records_.find(stopped);
    return found == records_.end() ? 0 : found->second.handovers;
}

std::vector<succession> succession_table::recent_updates(time_point now) const
{
    auto const all = is_recent(resend_started_, gossip_duration, now);
    std::vector<succession> found;
    for (auto const& [stopped, record] : records_)
    {
        if (!all && !is_recent(record.changed_at, gossip_duration, now))
            continue;
        auto const age =
            std::chrono::ceil<milliseconds>(now - record.handed_over_at);
        found.push_back({stopped, record.successor, record.handovers, age});
    }
    return found;
}

void succession_table::resend(time_point now)
{
    resend_started_ = now;
}

std::uint64_t succession_table::digest() const
{
    std::uint64_t digest = 0;
    for (auto const& [stopped, record] : records_)
    {
        digest ^= item_digest()
                      .add(stopped.address)
                      .add(stopped.incarnation)
                      .add(record.successor.address)
                      .add(record.successor.incarnation)
                      .value();
    }
    return digest;
}

void succession_table::expire(time_point now)
{
    std::erase_if(records_,
                  [this, now](auto const& entry)
                  {
                      return now - entry.second.handed_over_at >= retention_;
                  });
}

std::size_t succession_table::size() const
{
    return records_.size();
}

} // namespace masticshift::membership
