#ifndef MASTICSHIFT_HISTORY_INCARNATION_HPP
#define MASTICSHIFT_HISTORY_INCARNATION_HPP

#include "seen.hpp"

#include <string_view>
#include <vector>

namespace masticshift::history
{

/// A time in which an entry was killed, frozen, or cut off. In microseconds.
struct outage
{
    std::string_view entry;
    std::int64_t from = 0;
    std::int64_t to = 0;
};

std::vector<outage> outages_of(recorded_history const& history);

/// One process of an entry, from its start to its end.
struct incarnation
{
    std::string_view source;
    /// The source, when the process did not name its address.
    std::string_view caller_address;
    std::int64_t start_us = 0;
    /// Start of the next process at this source, or the end of the history.
    std::int64_t end_us = 0;
    record const* first = nullptr;
    seen<admission_closed> closed;
    seen<stopped> stop;
    std::vector<seen<configuration_in_force>> in_force;
    std::vector<seen<task_started>> starts;
};

std::vector<incarnation> incarnations_of(recorded_history const& history);

/// Time of the last record, in microseconds.
std::int64_t end_of(recorded_history const& history);

} // namespace masticshift::history

#endif
