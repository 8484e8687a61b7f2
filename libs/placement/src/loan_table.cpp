#include "loan_table.hpp"

#include "seconds.hpp"
#include "stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticshift::placement
{

namespace
{

// Idle slots that an entry keeps for its own next tasks, times the square root
// of their number, as arrivals vary.
constexpr double kept_factor = 1;
constexpr auto longest_loan = milliseconds(5'000);
// A loan that ends sooner is not worth returning.
constexpr auto min_returned = milliseconds(50);
// Loans are looked through no more often than this.
constexpr auto surplus_interval = milliseconds(20);

/// Whether tasks of another service than `except` wait for the endpoint.
bool wanted_by_others(endpoint_state const& endpoint,
                      service_state const* except)
{
    return std::ranges::any_of(endpoint.memberships,
                               [except](membership const& part)
                               {
                                   return part.service != except &&
                                          part.service->queued_tasks > 0;
                               });
}

bool may_lend(service_state const& service, member_state const& member)
{
    return service.is_startable(member) &&
           !wanted_by_others(*member.endpoint, &service);
}

unsigned lendable_slots(endpoint_state const& endpoint)
{
    auto const count =
        std::ranges::count_if(endpoint.slots, &slot_state::lendable);
    return static_cast<unsigned>(count);
}

unsigned without_kept(unsigned idle, std::size_t queued)
{
    double const kept = kept_factor * std::sqrt(idle);
    double const left = idle - std::ceil(kept) - static_cast<double>(queued);
    return left > 0 ? static_cast<unsigned>(left) : 0;
}

} // namespace

loan_table::loan_table(fleet& all, engine_settings const& settings)
    : all_(all), settings_(settings)
{
}

unsigned loan_table::idle_slots(service_state const& service) const
{
    unsigned idle = 0;
    for (auto const& member : service.members)
    {
        if (may_lend(service, member))
            idle += lendable_slots(*member.endpoint);
    }
    return without_kept(idle, service.queued_tasks);
}

std::vector<loan> loan_table::lend(service_state& service, unsigned count,
                                   std::uint32_t borrower, time_point now)
{
    std::vector<loan> loans;
    auto const idle = idle_slots(service);
    auto const given = std::min(count, idle);
    // Fast and slow slots alike: every nth idle slot from the fastest on.
    std::size_t passed = 0;
    for (auto const index : service.by_rank)
    {
        auto& member = service.members[index];
        auto& endpoint = *member.endpoint;
        if (loans.size() == given || !may_lend(service, member))
            continue;
        for (unsigned i = 0; i < endpoint.config.slots; ++i)
        {
            auto& slot = endpoint.slots[i];
            if (loans.size() == given || !slot.lendable())
                continue;
            if (passed++ * given < loans.size() * idle)
                continue;
            auto const length = loan_length(service, member);
            slot.lent = true;
            slot.party = borrower;
            slot.until = now + length + settings_.loan_margin;
            loans.push_back({endpoint.config.name, i, length});
        }
        all_.refresh(endpoint, now);
    }
    return loans;
}

duration loan_table::loan_length(service_state const& service,
                                 member_state const& member) const
{
    double const run_time = to_seconds(service.mean_run_time(member));
    auto const runs = from_seconds(run_time * settings_.loan_run_times);
    auto const longest = std::max<duration>(longest_loan, settings_.loan);
    return std::clamp(runs, settings_.loan, longest);
}

void loan_table::take_back(std::uint32_t borrower,
                           std::vector<loan> const& loans, time_point now)
{
    for (auto const& loan : loans)
    {
        auto* endpoint = all_.find_endpoint(loan.endpoint);
        if (endpoint == nullptr || loan.slot >= endpoint->slots.size())
            continue;
        auto& slot = endpoint->slots[loan.slot];
        if (!slot.lent || slot.party != borrower)
            continue;
        slot.lent = false;
        all_.refresh(*endpoint, now);
    }
}

void loan_table::borrow(std::string_view lender, std::vector<loan> const& loans,
                        time_point since, time_point now)
{
    forget_ended(now);
    auto const lender_number = intern_lender(lender);
    for (auto const& loan : loans)
    {
        auto* endpoint = all_.find_endpoint(loan.endpoint);
        if (endpoint == nullptr || loan.slot >= endpoint->config.slots)
            continue;
        auto& slot = endpoint->slots[loan.slot];
        auto const until = since + loan.valid - settings_.loan_margin;
        if (slot.owned || until <= now)
            continue;
        slot.borrowed = true;
        // A busy slot of another owner runs on from an earlier loan.
        slot.used = slot.busy;
        slot.until = until;
        borrowed_.push_back({endpoint->id, lender_number, loan.slot, until});
        all_.refresh(*endpoint, now);
    }
}

std::uint32_t loan_table::intern_lender(std::string_view address)
{
    auto const found = std::ranges::find(lenders_, address);
    auto const number = static_cast<std::uint32_t>(found - lenders_.begin());
    if (found == lenders_.end())
        lenders_.emplace_back(address);
    return number;
}

void loan_table::forget_ended(time_point now)
{
    std::erase_if(borrowed_,
                  [now](borrowed_slot const& loan)
                  {
                      return loan.until <= now;
                  });
}

std::size_t loan_table::borrowed(time_point now) const
{
    auto const count = std::ranges::count_if(borrowed_,
                                             [now](borrowed_slot const& loan)
                                             {
                                                 return loan.until > now;
                                             });
    return static_cast<std::size_t>(count);
}

slot_state* loan_table::find_held(borrowed_slot const& loan) const
{
    auto* endpoint = all_.endpoint(loan.endpoint);
    if (endpoint == nullptr || loan.slot >= endpoint->slots.size())
        return nullptr;
    auto& slot = endpoint->slots[loan.slot];
    return slot.borrowed && slot.until == loan.until ? &slot : nullptr;
}

bool loan_table::worth_returning(borrowed_slot const& loan,
                                 time_point now) const
{
    auto const* slot = find_held(loan);
    if (slot == nullptr || slot->busy || slot->until - now < min_returned)
        return false;
    return !wanted_by_others(*all_.endpoint(loan.endpoint), nullptr);
}

void loan_table::return_slot(borrowed_slot const& loan,
                             std::vector<give_back>& result, time_point now)
{
    auto& endpoint = *all_.endpoint(loan.endpoint);
    auto const& lender = lenders_[loan.lender];
    auto at = std::ranges::find(result, lender, &give_back::lender);
    if (at == result.end())
        at = result.insert(result.end(), {lender, {}});
    at->slots.push_back({endpoint.config.name, loan.slot, loan.until - now});
    endpoint.slots[loan.slot].borrowed = false;
    all_.refresh(endpoint, now);
}

std::vector<give_back>
loan_table::take_surplus_loans(borrow_pacing const& lenders, time_point now)
{
    std::vector<give_back> result;
    if (now < next_surplus_ || borrowed_.empty())
        return result;
    next_surplus_ = now + surplus_interval;
    forget_ended(now);
    std::vector<borrowed_slot> kept;
    for (auto const& loan : borrowed_)
    {
        if (lenders.has_queue(lenders_[loan.lender]) &&
            worth_returning(loan, now))
            return_slot(loan, result, now);
        else
            kept.push_back(loan);
    }
    borrowed_ = std::move(kept);
    return result;
}

} // namespace masticshift::placement
