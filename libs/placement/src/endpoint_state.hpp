#ifndef MASTICSHIFT_PLACEMENT_ENDPOINT_STATE_HPP
#define MASTICSHIFT_PLACEMENT_ENDPOINT_STATE_HPP

#include <placement/endpoint_index.hpp>

#include <config/service_text.hpp>
#include <core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticshift::placement
{

class service_state;

/// A slot in this entry's view.
struct slot_state
{
    /// When this entry may use a lent slot again, or may start nothing more
    /// on a borrowed one.
    time_point until{};
    /// The borrower of a lent slot or the lender of a borrowed one.
    std::uint32_t party = 0;
    bool owned : 1 = false;
    bool busy : 1 = false;
    bool lent : 1 = false;
    bool borrowed : 1 = false;
    /// A task was started during the present loan.
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

/// The part that an endpoint has in a service.
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
    /// When it is looked at again; the time of its valid wake-up.
    time_point wake = time_point::max();
    std::uint32_t startable = 0;
    std::uint32_t busy = 0;
    bool configured = true;
    bool leaving = false;

    /// The slot for a task that is predicted to take `length`. A used loan is
    /// taken only for tasks that end before it.
    std::optional<unsigned> pick_slot(duration length, time_point now) const;

    /// Frees a slot after a task. A loan that ends within `too_short` is given
    /// up.
    void free_slot(unsigned slot, duration too_short, time_point now);

    /// Takes a slot for `length` that some other entry seems to use.
    void yield_slot(unsigned slot, duration length, time_point now);

    /// Ends loans that are over, and counts. Returns when the next one ends.
    time_point expire(time_point now);
};

} // namespace masticshift::placement

#endif
