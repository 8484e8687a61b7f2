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

void borrow_pacing::set_entries(std::vector<entry_view> const& live)
{
    std::vector<lender_state> lenders;
    for (auto const& view : live)
    {
        if (view.address == settings_.address)
            continue;
        lender_state lender;
        if (auto* known = find(view.address))
            lender = std::move(*known);
        bool const news =
            view.sequence == 0 || view.sequence != lender.view.sequence;
        if (news)
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

unsigned borrow_pacing::outstanding(std::string_view service) const
{
    unsigned sum = 0;
    for (auto const& lender : lenders_)
    {
        if (lender.asked.service == service)
            sum += lender.asked.count;
    }
    return sum;
}

std::vector<borrow_request> borrow_pacing::ask(std::string_view service,
                                               unsigned count, time_point now)
{
    std::vector<borrow_request> result;
    auto const under_way = outstanding(service);
    unsigned missing = count > under_way ? count - under_way : 0;
    for (auto& lender : lenders_)
    {
        auto* load = lender.load(service);
        if (missing == 0 || lender.waiting() || load == nullptr)
            continue;
        auto const part =
            std::min({missing, settings_.loan_batch, load->idle_slots});
        if (part == 0)
            continue;
        lender.asked = {lender.view.address, std::string(service), part};
        lender.asked_at = now;
        result.push_back(lender.asked);
        missing -= part;
    }
    return result;
}

std::optional<time_point> borrow_pacing::answered(std::string_view address,
                                                  unsigned granted)
{
    auto* lender = find(address);
    if (lender == nullptr || !lender->waiting())
        return std::nullopt;
    if (auto* load = lender->load(lender->asked.service))
    {
        bool const exhausted = granted < lender->asked.count;
        auto const left =
            load->idle_slots - std::min(granted, load->idle_slots);
        load->idle_slots = exhausted ? 0 : left;
    }
    lender->asked = {};
    return lender->asked_at;
}

bool borrow_pacing::has_queue(std::string_view address) const
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
        if (lender.waiting() &&
            now >= lender.asked_at + settings_.borrow_timeout)
            answered(lender.view.address, 0);
    }
}

std::optional<time_point> borrow_pacing::next_expiry() const
{
    std::optional<time_point> next;
    for (auto const& lender : lenders_)
    {
        auto const at = lender.asked_at + settings_.borrow_timeout;
        if (lender.waiting() && (!next || at < *next))
            next = at;
    }
    return next;
}

} // namespace masticshift::placement
