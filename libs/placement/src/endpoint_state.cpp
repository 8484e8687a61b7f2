#include "endpoint_state.hpp"

#include <algorithm>

namespace masticshift::placement
{

std::optional<unsigned> endpoint_state::pick_slot(duration length,
                                                  time_point now) const
{
    std::optional<unsigned> own;
    for (unsigned i = 0; i < config.slots; ++i)
    {
        auto const& slot = slots[i];
        if (!slot.startable())
            continue;
        if (!slot.borrowed)
            own = i;
        // Borrowed slots come first, since their loans end.
        else if (now < slot.until && (!slot.used || now + length <= slot.until))
            return i;
    }
    return own;
}

void endpoint_state::free_slot(unsigned index, duration min_time_left,
                               time_point now)
{
    auto& slot = slots[index];
    slot.busy = false;
    if (slot.borrowed && slot.until - now < min_time_left)
        slot.borrowed = false;
}

void endpoint_state::yield_slot(unsigned index, duration length, time_point now)
{
    auto& slot = slots[index];
    slot.borrowed = false;
    if (!slot.owned)
        return;
    slot.lent = true;
    slot.borrower = 0;
    slot.until = now + length;
}

time_point endpoint_state::expire(time_point now)
{
    auto next = time_point::max();
    startable = 0;
    busy = 0;
    for (unsigned i = 0; i < slots.size(); ++i)
    {
        auto& slot = slots[i];
        if ((slot.lent || slot.borrowed) && slot.until <= now)
        {
            slot.lent = false;
            slot.borrowed = false;
        }
        if (slot.lent || slot.borrowed)
            next = std::min(next, slot.until);
        busy += slot.busy ? 1 : 0;
        if (i < config.slots && slot.startable())
            ++startable;
    }
    return next;
}

} // namespace masticshift::placement
