#ifndef MASTICSHIFT_PLACEMENT_FAILURE_TOTALS_HPP
#define MASTICSHIFT_PLACEMENT_FAILURE_TOTALS_HPP

namespace masticshift::placement
{

/// Recent failure rates of all endpoints of a service, with which the rate of
/// each endpoint is compared.
struct failure_totals
{
    /// Sum of the endpoints' failure rates. Each endpoint has the same weight
    /// whatever its number of tasks, since an endpoint that fails immediately
    /// would otherwise dominate: it frees its slots soonest and gets the most
    /// tasks.
    double rates = 0;
    unsigned endpoints = 0;
    unsigned ejected = 0;
    double max_ejected_fraction = 0.5;

    bool may_eject_another() const
    {
        return ejected + 1 <= max_ejected_fraction * endpoints;
    }
};

} // namespace masticshift::placement

#endif
