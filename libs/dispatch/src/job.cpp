#include <dispatch/job.hpp>

#include <array>

namespace masticshift::dispatch
{

namespace
{

constexpr std::array end_names{"completed", "failed", "refused", "unknown",
                               "cancelled"};

constexpr std::array reason_names{
    "none",        "attempts_exhausted", "never_fits",        "overloaded",
    "withdrawn",   "superseded",         "not_dispatcher",    "endpoint_lost",
    "out_of_time", "busy_cell",          "endpoints_crashed", "outdated",
    "cancelled",   "evacuated",          "displaced"};

} // namespace

char const* name_of(job_end end)
{
    return end_names.at(static_cast<std::size_t>(end));
}

char const* name_of(end_reason reason)
{
    return reason_names.at(static_cast<std::size_t>(reason));
}

} // namespace masticshift::dispatch
