#ifndef MASTICSHIFT_PLACEMENT_ENDPOINT_STATE_HPP
#define MASTICSHIFT_PLACEMENT_ENDPOINT_STATE_HPP

#include <placement/endpoint_index.hpp>

#include <config/operator_configuration.hpp>
#include <core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticshift::placement
{

class service_state;

/// State of a slot, as known to this entry.
struct slot_state
{
    /// Of a lent slot: when this entry may use it again. Of a borrowed slot:
    /// until when this entry may start tasks on it.
    time_point until{};
    /// `borrower_key` of the borrower of a lent slot; 0 when no loan was made
    /// and the slot is only left unused, see `endpoint_state::yield_slot`.
    std::uint32_t borrower = 0;
    bool owned : 1 = false;
    bool busy : 1 = false;
    bool lent : 1 = false;
    bool borrowed : 1 = false;
    /// A task has been started on it during the present loan.
    bool used : 1 = false;

    bool startable() const
    {
        return !busy && ((owned && !lent) || borrowed);
    }
    bool lendable() const
    {
        return owned && !busy && !lent;
    }
};

/// Links an endpoint to a service: the index among the service's members.
struct membership
{
    service_state* service = nullptr;
    std::uint32_t member = 0;
};

/// An endpoint with its slots.
struct endpoint_state
{
    config::endpoint_config config;
    endpoint_id id = 0;
    std::string address;
    std::vector<slot_state> slots;
    std::vector<membership> memberships;
    /// Time of its next refresh; wake-ups at other times are obsolete.
    time_point wake = time_point::max();
    /// Numbers of slots that a task can start on, and that run a task.
    std::uint32_t startable = 0;
    std::uint32_t busy = 0;
    bool configured = true;
    bool leaving = false;

    /// The slot for a task with a predicted run time of `length`; borrowed
    /// slots first. A borrowed slot that has already run a task during its loan
    /// is used only for a task that is predicted to end before the loan does.
    std::optional<unsigned> pick_slot(duration length, time_point now) const;

    /// Frees a slot after a task. A borrowed slot whose loan has less than
    /// `min_time_left` to run is not used again.
    void free_slot(unsigned slot, duration min_time_left, time_point now);

    /// Stops using a slot that another entry seems to use: ends the loan of a
    /// borrowed slot, marks an own slot as lent for `length`.
    void yield_slot(unsigned slot, duration length, time_point now);

    /// Ends expired loans and counts the startable and busy slots. Returns when
    /// the next loan ends.
    time_point expire(time_point now);
};

} // namespace masticshift::placement

#endif
