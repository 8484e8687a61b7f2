#ifndef MASTICSHIFT_PLACEMENT_LOAN_TABLE_HPP
#define MASTICSHIFT_PLACEMENT_LOAN_TABLE_HPP

#include "borrow_pacing.hpp"
#include "fleet.hpp"

#include <placement/endpoint_index.hpp>
#include <placement/peer.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

/// Slots lent to other entries and borrowed from them.
class loan_table
{
public:
    loan_table(fleet& all, engine_settings const& settings);

    std::vector<loan> lend(service_state& service, unsigned count,
                           std::uint32_t borrower, time_point now);
    void take_back(std::uint32_t borrower, std::vector<loan> const& loans,
                   time_point now);

    /// `since` is when the loans began at the earliest.
    void borrow(std::string_view lender, std::vector<loan> const& loans,
                time_point since, time_point now);

    /// Takes unused loans for return, of lenders that can use them.
    std::vector<give_back> take_surplus_loans(borrow_pacing const& lenders,
                                              time_point now);

    /// Slots that the service could lend now.
    unsigned idle_slots(service_state const& service) const;

    /// Borrowed slots, also those in use.
    std::size_t borrowed(time_point now) const;

private:
    struct borrowed_slot
    {
        endpoint_id endpoint = 0;
        std::uint32_t lender = 0;
        unsigned slot = 0;
        time_point until;
    };

    duration loan_length(service_state const& service,
                         member_state const& member) const;
    std::uint32_t intern_lender(std::string_view address);
    /// The slot of a loan that has neither ended nor been replaced.
    slot_state* find_held(borrowed_slot const& loan) const;
    bool worth_returning(borrowed_slot const& loan, time_point now) const;
    void return_slot(borrowed_slot const& loan, std::vector<give_back>& result,
                     time_point now);
    void forget_ended(time_point now);

    fleet& all_;
    engine_settings const& settings_;
    std::vector<borrowed_slot> borrowed_;
    std::vector<std::string> lenders_;
    time_point next_surplus_{};
};

} // namespace masticshift::placement

#endif
