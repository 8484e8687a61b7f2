#include <membership/leaving_set.hpp>

#include "is_recent.hpp"
#include "item_digest.hpp"

#include <algorithm>

namespace masticshift::membership
{

void leaving_set::apply_list(endpoint_list const& list, time_point now)
{
    auto const set_back = list.as_of_us + clock_step_us < as_of_us_;
    if (list.as_of_us < as_of_us_ && !set_back)
        return;
    as_of_us_ = list.as_of_us;
    live_.clear();
    for (auto const& endpoint : list.endpoints)
    {
        if (!endpoint.leaving)
            live_.push_back(endpoint.address);
    }
    std::ranges::sort(live_);
    mark_returned_by_list(now);
    for (auto const& endpoint : list.endpoints)
    {
        if (endpoint.leaving)
            add({endpoint.address, list.as_of_us}, {}, now);
    }
}

void leaving_set::mark_returned_by_list(time_point now)
{
    for (auto& [endpoint, record] : records_)
    {
        if (!record.returned && contradicted({endpoint, record.as_of_us}))
            record = {as_of_us_, true, {}, now};
    }
}

bool leaving_set::receive(std::vector<leaving_notice> const& notices,
                          std::string_view origin, time_point now)
{
    bool changed = false;
    for (auto const& notice : notices)
        changed |= add(notice, origin, now);
    return changed;
}

bool leaving_set::add(leaving_notice const& notice, std::string_view origin,
                      time_point now)
{
    if (!notice.returned && contradicted(notice))
    {
        // Recorded as an update, so that the sender learns of the return.
        records_[notice.endpoint] = {as_of_us_, true, {}, now};
        return false;
    }
    auto const found = records_.find(notice.endpoint);
    if (found != records_.end())
        return update(found->second, notice, origin, now);
    if (notice.returned)
        return false;
    records_[notice.endpoint] = {notice.as_of_us, false, std::string(origin),
                                 now};
    if (records_.size() > max_notices)
        drop_oldest();
    return true;
}

bool leaving_set::update(record& record, leaving_notice const& notice,
                         std::string_view origin, time_point now)
{
    // After the platform's clock was set back, the notices of new lists have
    // lower times.
    auto const set_back = record.as_of_us - notice.as_of_us > clock_step_us;
    if (notice.as_of_us <= record.as_of_us && !set_back)
        return false;
    if (notice.returned == record.returned)
    {
        // The state is unchanged: only its time advances, so that older lists
        // no longer contradict it.
        record.as_of_us = std::max(record.as_of_us, notice.as_of_us);
        return false;
    }
    record = {notice.as_of_us, notice.returned, std::string(origin), now};
    return true;
}

bool leaving_set::contradicted(leaving_notice const& notice) const
{
    if (!std::ranges::binary_search(live_, notice.endpoint))
        return false;
    auto const ahead = notice.as_of_us - as_of_us_;
    return ahead < 0 || ahead > clock_step_us;
}

void leaving_set::drop_oldest()
{
    auto const oldest =
        std::ranges::min_element(records_, {},
                                 [](auto const& entry)
                                 {
                                     return entry.second.as_of_us;
                                 });
    records_.erase(oldest);
}

bool leaving_set::is_leaving(std::string_view endpoint) const
{
    auto const found = records_.find(endpoint);
    return found != records_.end() && !found->second.returned;
}

std::vector<std::string> leaving_set::endpoints() const
{
    std::vector<std::string> found;
    for (auto const& [endpoint, record] : records_)
    {
        if (!record.returned)
            found.push_back(endpoint);
    }
    return found;
}

std::vector<leaving_notice> leaving_set::recent_updates(time_point now) const
{
    auto const all = is_recent(resend_started_, gossip_duration, now);
    std::vector<leaving_notice> found;
    for (auto const& [endpoint, record] : records_)
    {
        if (all || is_recent(record.changed_at, gossip_duration, now))
            found.push_back({endpoint, record.as_of_us, record.returned});
    }
    return found;
}

void leaving_set::resend(time_point now)
{
    resend_started_ = now;
}

void leaving_set::expire(time_point now)
{
    std::erase_if(records_,
                  [now](auto const& entry)
                  {
                      auto const& record = entry.second;
                      return record.returned &&
                             !is_recent(record.changed_at, returned_retention,
                                        now);
                  });
}

std::uint64_t leaving_set::digest() const
{
    std::uint64_t digest = 0;
    for (auto const& [endpoint, record] : records_)
    {
        if (!record.returned)
            digest ^= item_digest().add(endpoint).value();
    }
    return digest;
}

std::int64_t leaving_set::as_of_us() const
{
    return as_of_us_;
}

} // namespace masticshift::membership
