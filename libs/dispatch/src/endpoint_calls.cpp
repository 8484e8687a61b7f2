#include <dispatch/endpoint_calls.hpp>

#include <array>

namespace masticshift::dispatch
{

namespace
{

constexpr std::array response_names{
    "accepted",  "outranked",    "run_too_old",        "too_late",
    "no_room",   "malformed",    "unhealthy",          "other_instance",
    "outdated",  "unidentified", "connection_refused", "not_sent",
    "unanswered"};

constexpr std::array end_names{"done", "failed", "stopped", "lapsed",
                               "group_broken"};

} // namespace

char const* name_of(order_response response)
{
    return response_names.at(static_cast<std::size_t>(response));
}

char const* name_of(run_end end)
{
    return end_names.at(static_cast<std::size_t>(end));
}

} // namespace masticshift::dispatch
