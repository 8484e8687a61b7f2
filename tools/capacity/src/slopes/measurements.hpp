#ifndef MASTICSHIFT_CAPACITY_MEASUREMENTS_HPP
#define MASTICSHIFT_CAPACITY_MEASUREMENTS_HPP

namespace capacity
{

/// Each function measures one part of an entry at several sizes and prints the
/// results.
void measure_homes();
void measure_placement();
void measure_revisions();
void measure_heartbeats();
void measure_log();

} // namespace capacity

#endif
