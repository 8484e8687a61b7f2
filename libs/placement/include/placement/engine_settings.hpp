#ifndef MASTICSHIFT_PLACEMENT_ENGINE_SETTINGS_HPP
#define MASTICSHIFT_PLACEMENT_ENGINE_SETTINGS_HPP

#include <core/time.hpp>

#include <string>

namespace masticshift::placement
{

/// What an engine is given when it is made.
struct engine_settings
{
    /// Peer address `IP:PORT` of this entry.
    std::string address;
    std::string data_centre;
    double weight = 1.0;
    /// Least time that idle slots are lent for. Loans of a service with long
    /// tasks last longer.
    duration loan = milliseconds(200);
    /// Mean run times of the service that a loan lasts for at least.
    double loan_run_times = 8.0;
    /// A lender uses a slot this long after the loan's end, and a borrower
    /// starts nothing on it within this time before.
    duration loan_margin = milliseconds(10);
    /// Slots that are asked for at once, at most.
    unsigned loan_batch = 16;
    /// A borrow call without an answer counts as failed after this time.
    duration borrow_timeout = milliseconds(1'000);
    /// Attempts of one task at most, the first included; up to 255.
    unsigned max_attempts = 16;
    /// Part of a service's endpoints that may be ejected at the same time.
    double max_ejected_part = 0.5;
    /// Seconds of remaining work that one second of waiting makes up for.
    double ageing = 1.0;
};

} // namespace masticshift::placement

#endif
