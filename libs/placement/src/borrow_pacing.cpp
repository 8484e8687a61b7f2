#include "borrow_pacing.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::placement
{

borrow_pacing::borrow_pacing(engine_settings const& settings)
    : settings_(settings)
{
}

service_load* borrow_pacing::lender_state::load(std::string_view service)
{
    auto const found =
        std::ranges::find(view.loads, service, &service_load::service);
    return found == view.loads.end() ? nullptr : &*found;
}

void borrow_pacing::set_nearest(std::vector<std::string> nearest)
{
    nearest_ = std::move(nearest);
    sort_by_distance();
}

void borrow_pacing::set_entries(std::vector<live_entry> const& live)
{
    std::vector<lender_state> lenders;
    for (auto const& view : live)
    {
        if (view.address == settings_.address)
            continue;
        lender_state lender;
        if (auto* known = find(view.address))
            lender = std::move(*known);
        bool const is_new =
            view.sequence == 0 || view.sequence != lender.view.sequence;
        if (is_new)
            lender.view = view;
        lenders.push_back(std::move(lender));
    }
    lenders_ = std::move(lenders);
    sort_by_distance();
}

void borrow_pacing::sort_by_distance()
{
    for (auto& lender : lenders_)
        lender.distance = distance_of(lender.view.data_centre);
    std::ranges::stable_sort(lenders_, {}, &lender_state::distance);
}

std::size_t borrow_pacing::distance_of(std::string_view data_centre) const
{
    if (data_centre == settings_.data_centre)
        return 0;
    auto const found = std::ranges::find(nearest_, data_centre);
    return 1 + static_cast<std::size_t>(found - nearest_.begin());
}

borrow_pacing::lender_state* borrow_pacing::find(std::string_view address)
{
    auto const found =
        std::ranges::find_if(lenders_,
                             [&](lender_state const& lender)
                             {
                                 return lender.view.address == address;
                             });
    return found == lenders_.end() ? nullptr : &*found;
}

unsigned borrow_pacing::pending_slots(std::string_view service) const
{
    unsigned sum = 0;
    for (auto const& lender : lenders_)
    {
        if (lender.call.service == service)
            sum += lender.call.count;
    }
    return sum;
}

std::vector<borrow_request> borrow_pacing::make_calls(std::string_view service,
                                                      unsigned count,
                                                      time_point now)
{
    std::vector<borrow_request> result;
    auto const pending = pending_slots(service);
    unsigned missing = count > pending ? count - pending : 0;
    for (auto& lender : lenders_)
    {
        auto* load = lender.load(service);
        if (missing == 0 || lender.call_pending() || load == nullptr)
            continue;
        auto const requested =
            std::min({missing, settings_.loan_batch, load->idle_slots});
        if (requested == 0)
            continue;
        lender.call = {lender.view.address, std::string(service), requested};
        lender.call_time = now;
        result.push_back(lender.call);
        missing -= requested;
    }
    return result;
}

std::optional<time_point>
borrow_pacing::record_response(std::string_view address, unsigned granted)
{
    auto* lender = find(address);
    if (lender == nullptr || !lender->call_pending())
        return std::nullopt;
    if (auto* load = lender->load(lender->call.service))
    {
        bool const exhausted = granted < lender->call.count;
        auto const remaining =
            load->idle_slots - std::min(granted, load->idle_slots);
        load->idle_slots = exhausted ? 0 : remaining;
    }
    lender->call = {};
    return lender->call_time;
}

bool borrow_pacing::has_queued_tasks(std::string_view address) const
{
    for (auto const& lender : lenders_)
    {
        if (lender.view.address != address)
            continue;
        return std::ranges::any_of(lender.view.loads,
                                   [](service_load const& load)
                                   {
                                       return load.queued_tasks > 0;
                                   });
    }
    return false;
}

void borrow_pacing::expire(time_point now)
{
    for (auto& lender : lenders_)
    {
        if (lender.call_pending() &&
            now >= lender.call_time + settings_.borrow_timeout)
            record_response(lender.view.address, 0);
    }
}

std::optional<time_point> borrow_pacing::next_expiry() const
{
    std::optional<time_point> next;
    for (auto const& lender : lenders_)
    {
        auto const at = lender.call_time + settings_.borrow_timeout;
        if (lender.call_pending() && (!next || at < *next))
            next = at;
    }
    return next;
}

} // namespace masticshift::placement
