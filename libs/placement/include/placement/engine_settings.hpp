#ifndef MASTICSHIFT_PLACEMENT_ENGINE_SETTINGS_HPP
#define MASTICSHIFT_PLACEMENT_ENGINE_SETTINGS_HPP

#include <core/time.hpp>

#include <string>

namespace masticshift::placement
{

/// Settings of an engine, fixed when it is constructed.
struct engine_settings
{
    /// Peer address `IP:PORT` of this entry.
    std::string address;
    std::string data_centre;
    /// Share of slots relative to the other entries of the data centre.
    double weight = 1.0;
    /// Minimum duration of a loan of idle slots. Loans for a service with long
    /// tasks last longer.
    duration min_loan_duration = milliseconds(200);
    /// Nominal duration of a loan, in mean run times of the service's tasks at
    /// the endpoint. Raised to `min_loan_duration` if shorter, and limited to
    /// a fixed maximum of 5 s (or `min_loan_duration` if that is longer).
    double loan_run_times = 8.0;
    /// A lender uses a slot again only this long after the loan's end, and a
    /// borrower starts no task on it in the last part of the loan of this
    /// length.
    duration loan_margin = milliseconds(10);
    /// Maximum number of slots in one borrow call.
    unsigned loan_batch = 16;
    /// A borrow call without a response counts as failed after this time.
    duration borrow_timeout = milliseconds(1'000);
    /// Maximum number of attempts of one task, including the first; up to 255.
    unsigned max_attempts = 16;
    /// Maximum fraction of a service's endpoints that may be ejected at the
    /// same time.
    double max_ejected_fraction = 0.5;
    /// Seconds of remaining work that one second of waiting offsets in the
    /// order of queued jobs.
    double ageing = 1.0;
};

} // namespace masticshift::placement

#endif
