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

// An entry keeps this factor times the square root of its idle slots for its
// own next tasks, since the number of arrivals fluctuates.
constexpr double reserve_factor = 1;
constexpr auto max_loan = milliseconds(5'000);
// A loan with less time left is not worth a message to return it.
constexpr auto min_time_left_to_return = milliseconds(50);
// Minimum time between two searches for loans to return.
constexpr auto surplus_check_interval = milliseconds(20);

/// Whether a service of the endpoint other than `except` has tasks queued.
bool has_queued_tasks(endpoint_state const& endpoint,
                      service_state const* except)
{
    return std::ranges::any_of(endpoint.memberships,
                               [except](membership const& item)
                               {
                                   return item.service != except &&
                                          item.service->queued_tasks > 0;
                               });
}

bool may_lend(service_state const& service, member_state const& member)
{
    return service.is_startable(member) &&
           !has_queued_tasks(*member.endpoint, &service);
}

unsigned lendable_slots(endpoint_state const& endpoint)
{
    auto const count =
        std::ranges::count_if(endpoint.slots, &slot_state::lendable);
    return static_cast<unsigned>(count);
}

unsigned subtract_reserve(unsigned idle, std::size_t queued)
{
    double const reserve = reserve_factor * std::sqrt(idle);
    double const lendable =
        idle - std::ceil(reserve) - static_cast<double>(queued);
    return lendable > 0 ? static_cast<unsigned>(lendable) : 0;
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
    return subtract_reserve(idle, service.queued_tasks);
}

std::vector<loan> loan_table::lend(service_state& service, unsigned count,
                                   std::uint32_t borrower, time_point now)
{
    std::vector<loan> loans;
    auto const idle = idle_slots(service);
    auto const granted = std::min(count, idle);
    // Lends fast and slow slots evenly: every nth idle slot in the order of
    // speed.
    std::size_t considered = 0;
    for (auto const index : service.by_rank)
    {
        auto& member = service.members[index];
        auto& endpoint = *member.endpoint;
        if (loans.size() == granted || !may_lend(service, member))
            continue;
        for (unsigned i = 0; i < endpoint.config.slots; ++i)
        {
            auto& slot = endpoint.slots[i];
            if (loans.size() == granted || !slot.lendable())
                continue;
            if (considered++ * granted < loans.size() * idle)
                continue;
            auto const length = loan_length(service, member);
            slot.lent = true;
            slot.borrower = borrower;
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
    auto const nominal = from_seconds(run_time * settings_.loan_run_times);
    auto const max_length =
        std::max<duration>(max_loan, settings_.min_loan_duration);
    return std::clamp(nominal, settings_.min_loan_duration, max_length);
}

void loan_table::accept_returned(std::uint32_t borrower,
                                 std::vector<loan> const& loans, time_point now)
{
    for (auto const& loan : loans)
    {
        auto* endpoint = all_.find_endpoint(loan.endpoint);
        if (endpoint == nullptr || loan.slot >= endpoint->slots.size())
            continue;
        auto& slot = endpoint->slots[loan.slot];
        if (!slot.lent || slot.borrower != borrower)
            continue;
        slot.lent = false;
        all_.refresh(*endpoint, now);
    }
}

void loan_table::accept_loans(std::string_view lender,
                              std::vector<loan> const& loans, time_point since,
                              time_point now)
{
    erase_expired(now);
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
        // A busy slot that this entry does not own still runs a task from an
        // earlier loan.
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

void loan_table::erase_expired(time_point now)
{
    std::erase_if(borrowed_,
                  [now](borrowed_slot const& loan)
                  {
                      return loan.until <= now;
                  });
}

std::size_t loan_table::borrowed_count(time_point now) const
{
    auto const count = std::ranges::count_if(borrowed_,
                                             [now](borrowed_slot const& loan)
                                             {
                                                 return loan.until > now;
                                             });
    return static_cast<std::size_t>(count);
}

slot_state* loan_table::find_active(borrowed_slot const& loan) const
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
    auto const* slot = find_active(loan);
    if (slot == nullptr || slot->busy ||
        slot->until - now < min_time_left_to_return)
        return false;
    return !has_queued_tasks(*all_.endpoint(loan.endpoint), nullptr);
}

void loan_table::return_slot(borrowed_slot const& loan,
                             std::vector<returned_loans>& result,
                             time_point now)
{
    auto& endpoint = *all_.endpoint(loan.endpoint);
    auto const& lender = lenders_[loan.lender];
    auto at = std::ranges::find(result, lender, &returned_loans::lender);
    if (at == result.end())
        at = result.insert(result.end(), {lender, {}});
    at->slots.push_back({endpoint.config.name, loan.slot, loan.until - now});
    endpoint.slots[loan.slot].borrowed = false;
    all_.refresh(endpoint, now);
}

std::vector<returned_loans>
loan_table::take_surplus_loans(borrow_pacing const& pacing, time_point now)
{
    std::vector<returned_loans> result;
    if (now < next_surplus_check_ || borrowed_.empty())
        return result;
    next_surplus_check_ = now + surplus_check_interval;
    erase_expired(now);
    std::vector<borrowed_slot> remaining;
    for (auto const& loan : borrowed_)
    {
        if (pacing.has_queued_tasks(lenders_[loan.lender]) &&
            worth_returning(loan, now))
            return_slot(loan, result, now);
        else
            remaining.push_back(loan);
    }
    borrowed_ = std::move(remaining);
    return result;
}

} // namespace masticshift::placement
