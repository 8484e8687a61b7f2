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

/// Whom to ask for slots, and when. An entry that had none to lend is asked
/// again only after a heartbeat that shows idle slots.
class borrow_pacing
{
public:
    explicit borrow_pacing(engine_settings const& settings);

    /// Sets the other data centres, nearest first.
    void set_nearest(std::vector<std::string> nearest);

    void set_entries(std::vector<entry_view> const& live);

    /// Calls that together ask for up to `count` slots.
    std::vector<borrow_request> ask(std::string_view service, unsigned count,
                                    time_point now);

    /// Ends a call. Returns when it was made.
    std::optional<time_point> answered(std::string_view lender,
                                       unsigned granted);

    /// Whether a lender has tasks queued, in the last view.
    bool has_queue(std::string_view lender) const;

    /// Forgets calls whose answer is overdue.
    void expire(time_point now);
    std::optional<time_point> next_expiry() const;

private:
    struct lender_state
    {
        entry_view view;
        std::size_t distance = 0;
        /// The call under way; a count of 0 when there is none.
        borrow_request asked;
        time_point asked_at{};

        bool waiting() const
        {
            return asked.count > 0;
        }
        service_load* load(std::string_view service);
    };

    std::size_t distance_of(std::string_view data_centre) const;
    lender_state* find(std::string_view address);
    unsigned outstanding(std::string_view service) const;
    void sort_by_distance();

    engine_settings const& settings_;
    std::vector<std::string> nearest_;
    std::vector<lender_state> lenders_;
};

} // namespace masticshift::placement

#endif
