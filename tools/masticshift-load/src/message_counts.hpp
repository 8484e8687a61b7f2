#ifndef MASTICSHIFT_LOAD_MESSAGE_COUNTS_HPP
#define MASTICSHIFT_LOAD_MESSAGE_COUNTS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace masticshift::load
{

/// Numbers of messages by kind, of one entry or summed over several.
struct message_counts
{
    std::map<std::string, double> by_kind;

    double total() const;
    void add(message_counts const& other);
};

/// Parses the samples `masticshift_messages_total{kind="..."}` from Prometheus
/// text.
message_counts parse_message_counts(std::string_view metrics);

/// The messages that were sent between two readings.
message_counts difference(message_counts const& before,
                          message_counts const& after);

/// The minimum number of messages for this work: a call and its response for
/// each job and each task.
double ideal_messages(std::uint64_t jobs, std::uint64_t tasks);

} // namespace masticshift::load

#endif
