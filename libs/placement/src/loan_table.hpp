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

/// Lends slots to other entries and keeps the slots borrowed from them.
class loan_table
{
public:
    loan_table(fleet& all, engine_settings const& settings);

    /// Lends up to `count` idle slots of a service. `borrower` is a
    /// `borrower_key`.
    std::vector<loan> lend(service_state& service, unsigned count,
                           std::uint32_t borrower, time_point now);
    /// Ends loans whose slots `borrower` has returned early.
    void accept_returned(std::uint32_t borrower, std::vector<loan> const& loans,
                         time_point now);

    /// Adds the loans of a lender's response. `since` is the time of the call,
    /// before which no loan can have started.
    void accept_loans(std::string_view lender, std::vector<loan> const& loans,
                      time_point since, time_point now);

    /// Removes and returns borrowed slots that no task of this entry needs and
    /// whose lenders have tasks queued.
    std::vector<returned_loans> take_surplus_loans(borrow_pacing const& pacing,
                                                   time_point now);

    /// Number of slots that the service could lend now.
    unsigned idle_slots(service_state const& service) const;

    /// Number of borrowed slots, including those in use.
    std::size_t borrowed_count(time_point now) const;

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
    /// The slot of a loan, or null when the loan has ended or a newer one has
    /// replaced it.
    slot_state* find_active(borrowed_slot const& loan) const;
    bool worth_returning(borrowed_slot const& loan, time_point now) const;
    void return_slot(borrowed_slot const& loan,
                     std::vector<returned_loans>& result, time_point now);
    void erase_expired(time_point now);

    fleet& all_;
    engine_settings const& settings_;
    std::vector<borrowed_slot> borrowed_;
    std::vector<std::string> lenders_;
    time_point next_surplus_check_{};
};

} // namespace masticshift::placement

#endif
