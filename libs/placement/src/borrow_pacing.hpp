#ifndef MASTICSHIFT_PLACEMENT_BORROW_PACING_HPP
#define MASTICSHIFT_PLACEMENT_BORROW_PACING_HPP

#include <placement/engine_settings.hpp>
#include <placement/peer.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

/// Decides which entries to ask for slots, and when. Each entry has at most one
/// call pending. An entry that lent fewer slots than requested is asked again
/// only after a heartbeat from it reports idle slots.
class borrow_pacing
{
public:
    explicit borrow_pacing(engine_settings const& settings);

    /// Sets the names of the other data centres, nearest first.
    void set_nearest(std::vector<std::string> nearest);

    /// Replaces the list of live entries. Pending calls to entries that are
    /// still live stay pending.
    void set_entries(std::vector<live_entry> const& live);

    /// Makes calls, nearest entries first, so that all pending calls for the
    /// service together ask for up to `count` slots.
    std::vector<borrow_request> make_calls(std::string_view service,
                                           unsigned count, time_point now);

    /// Records the response to the pending call, with the number of slots
    /// lent. Returns the time of the call, or nothing when none is pending.
    std::optional<time_point> record_response(std::string_view lender,
                                              unsigned granted);

    /// Whether a lender has tasks queued, by its last heartbeat.
    bool has_queued_tasks(std::string_view lender) const;

    /// Ends calls that have timed out, as if no slot had been lent.
    void expire(time_point now);
    std::optional<time_point> next_expiry() const;

private:
    struct lender_state
    {
        live_entry view;
        std::size_t distance = 0;
        /// The pending call; a count of 0 when there is none.
        borrow_request call;
        time_point call_time{};

        bool call_pending() const
        {
            return call.count > 0;
        }
        service_load* load(std::string_view service);
    };

    std::size_t distance_of(std::string_view data_centre) const;
    lender_state* find(std::string_view address);
    unsigned pending_slots(std::string_view service) const;
    void sort_by_distance();

    engine_settings const& settings_;
    std::vector<std::string> nearest_;
    std::vector<lender_state> lenders_;
};

} // namespace masticshift::placement

#endif
