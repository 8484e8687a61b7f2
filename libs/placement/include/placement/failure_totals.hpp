#ifndef MASTICSHIFT_PLACEMENT_FAILURE_TOTALS_HPP
#define MASTICSHIFT_PLACEMENT_FAILURE_TOTALS_HPP

namespace masticshift::placement
{

/// Recent results of all endpoints of a service, against which each of them
/// is judged.
struct failure_totals
{
    /// Sum of the failure rates of the endpoints. Each counts the same, however
    /// many tasks it gets, since one that fails at once gets the most.
    double rates = 0;
    unsigned endpoints = 0;
    unsigned ejected = 0;
    double max_ejected_part = 0.5;

    bool may_eject_another() const
    {
        return ejected + 1 <= max_ejected_part * endpoints;
    }
};

} // namespace masticshift::placement

#endif
