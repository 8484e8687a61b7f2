#include "loan_wire.hpp"

namespace masticshift::daemon
{

std::vector<wire::lent_slot> to_wire(std::vector<placement::loan> const& loans)
{
    std::vector<wire::lent_slot> slots;
    for (auto const& loan : loans)
    {
        wire::lent_slot slot;
        slot.__set_endpoint(loan.endpoint);
        slot.__set_slot(static_cast<std::int32_t>(loan.slot));
        auto const valid = std::chrono::floor<milliseconds>(loan.valid);
        slot.__set_valid_ms(static_cast<std::int32_t>(valid.count()));
        slots.push_back(std::move(slot));
    }
    return slots;
}

std::vector<placement::loan>
from_wire(std::vector<wire::lent_slot> const& slots)
{
    std::vector<placement::loan> loans;
    for (auto const& slot : slots)
    {
        if (slot.slot < 0)
            continue;
        loans.push_back({slot.endpoint, static_cast<unsigned>(slot.slot),
                         milliseconds(slot.valid_ms)});
    }
    return loans;
}

} // namespace masticshift::daemon
