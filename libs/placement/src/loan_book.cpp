#include "loan_book.hpp"

#include "seconds.hpp"
#include "stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::placement
{

namespace
{

// Part of its idle slots that an entry keeps for its own next tasks.
constexpr double kept_part = 0.25;
constexpr auto longest_loan = milliseconds(5'000);
// A loan that ends sooner is not worth returning.
constexpr auto min_returned = milliseconds(50);

bool serves_queued_tasks(endpoint_state const& endpoint)
{
    return std::ranges::any_of(endpoint.memberships,
                               [](membership const& part)
                               {
                                   return part.service->queued_tasks > 0;
                               });
}

unsigned lendable_slots(endpoint_state const& endpoint)
{
    auto const count =
        std::ranges::count_if(endpoint.slots, &slot_state::lendable);
    return static_cast<unsigned>(count);
}

unsigned without_kept(unsigned idle)
{
    return idle - static_cast<unsigned>(static_cast<double>(idle) * kept_part);
}

} // namespace

loan_book::loan_book(fleet& all, engine_settings const& settings)
    : all_(all), settings_(settings)
{
}

unsigned loan_book::idle_slots(service_state const& service) const
{
    unsigned idle = 0;
    for (auto const& member : service.members)
    {
        auto const& endpoint = *member.endpoint;
        if (service.is_startable(member) && !serves_queued_tasks(endpoint))
            idle += lendable_slots(endpoint);
    }
    return without_kept(idle);
}

std::vector<loan> loan_book::lend(service_state& service, unsigned count,
                                  std::uint32_t borrower, time_point now)
{
    std::vector<loan> loans;
    auto const idle = idle_slots(service);
    auto const given = std::min(count, idle);
    // Fast and slow slots alike: every nth idle slot from the fastest on.
    unsigned passed = 0;
    for (auto const index : service.by_rank)
    {
        auto& member = service.members[index];
        auto& endpoint = *member.endpoint;
        if (!service.is_startable(member) || serves_queued_tasks(endpoint))
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

duration loan_book::loan_length(service_state const& service,
                                member_state const& member) const
{
    double const run_time = service.model.mean() / member.speed.value();
    auto const runs = from_seconds(run_time * settings_.loan_run_times);
    auto const longest = std::max<duration>(longest_loan, settings_.loan);
    return std::clamp(runs, settings_.loan, longest);
}

slot_state* loan_book::find_slot(std::string_view name, unsigned slot) const
{
    auto* endpoint = all_.find_endpoint(name);
    if (endpoint == nullptr || slot >= endpoint->config.slots)
        return nullptr;
    return &endpoint->slots[slot];
}

void loan_book::take_back(std::uint32_t borrower,
                          std::vector<loan> const& loans, time_point now)
{
    for (auto const& loan : loans)
    {
        auto* slot = find_slot(loan.endpoint, loan.slot);
        if (slot == nullptr || !slot->lent || slot->party != borrower)
            continue;
        slot->lent = false;
        all_.refresh(*all_.find_endpoint(loan.endpoint), now);
    }
}

void loan_book::borrow(std::string_view lender, std::vector<loan> const& loans,
                       time_point since, time_point now)
{
    forget_ended(now);
    for (auto const& loan : loans)
    {
        auto* slot = find_slot(loan.endpoint, loan.slot);
        auto const until = since + loan.valid - settings_.loan_margin;
        // A busy slot of another owner runs on from an earlier loan.
        if (slot == nullptr || slot->owned || until <= now)
            continue;
        slot->borrowed = true;
        slot->used = slot->busy;
        slot->until = until;
        borrowed_.push_back(
            {loan.endpoint, std::string(lender), loan.slot, until});
        all_.refresh(*all_.find_endpoint(loan.endpoint), now);
    }
}

void loan_book::forget_ended(time_point now)
{
    std::erase_if(borrowed_,
                  [now](borrowed_slot const& loan)
                  {
                      return loan.until <= now;
                  });
}

std::size_t loan_book::borrowed(time_point now) const
{
    auto const count = std::ranges::count_if(borrowed_,
                                             [now](borrowed_slot const& loan)
                                             {
                                                 return loan.until > now;
                                             });
    return static_cast<std::size_t>(count);
}

bool loan_book::worth_returning(borrowed_slot const& loan, time_point now) const
{
    auto const* slot = find_slot(loan.endpoint, loan.slot);
    if (slot == nullptr || !slot->borrowed || slot->busy)
        return false;
    if (slot->until != loan.until || slot->until - now < min_returned)
        return false;
    return !serves_queued_tasks(*all_.find_endpoint(loan.endpoint));
}

std::vector<give_back> loan_book::surplus(borrow_pacing const& lenders,
                                          time_point now)
{
    std::vector<give_back> result;
    forget_ended(now);
    auto const returned = [&](borrowed_slot const& held)
    {
        if (!lenders.has_queue(held.lender) || !worth_returning(held, now))
            return false;
        auto at = std::ranges::find(result, held.lender, &give_back::lender);
        if (at == result.end())
            at = result.insert(result.end(), {held.lender, {}});
        at->slots.push_back({held.endpoint, held.slot, held.until - now});
        find_slot(held.endpoint, held.slot)->borrowed = false;
        all_.refresh(*all_.find_endpoint(held.endpoint), now);
        return true;
    };
    std::erase_if(borrowed_, returned);
    return result;
}

} // namespace masticshift::placement
