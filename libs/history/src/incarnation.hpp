#ifndef MASTICSHIFT_HISTORY_INCARNATION_HPP
#define MASTICSHIFT_HISTORY_INCARNATION_HPP

#include "typed_record.hpp"

#include <string_view>
#include <vector>

namespace masticshift::history
{

/// A period in which an entry was killed, frozen or isolated, in microseconds
/// of wall time.
struct outage
{
    std::string_view entry;
    std::int64_t from = 0;
    /// The maximum of the type if the history has no end of the outage.
    std::int64_t to = 0;
};

std::vector<outage> outages_of(recorded_history const& history);

/// One process of an entry, from its start to its end.
struct incarnation
{
    std::string_view source;
    /// The source, when the process did not record its address.
    std::string_view caller_address;
    std::int64_t start_us = 0;
    /// End of a graceful stop or start of the next process of this source. The
    /// maximum of the type if the history has neither.
    std::int64_t end_us = 0;
    record const* first = nullptr;
    typed_record<admission_closed> closed;
    typed_record<stopped> stop;
    std::vector<typed_record<configuration_in_force>> in_force;
    std::vector<typed_record<task_started>> starts;
};

std::vector<incarnation> incarnations_of(recorded_history const& history);

/// Time of the last record, in microseconds.
std::int64_t end_of(recorded_history const& history);

} // namespace masticshift::history

#endif
