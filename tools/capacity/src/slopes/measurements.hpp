#ifndef MASTICSHIFT_CAPACITY_MEASUREMENTS_HPP
#define MASTICSHIFT_CAPACITY_MEASUREMENTS_HPP

namespace capacity
{

/// Each measures one part at several sizes and prints what it found.
void measure_homes();
void measure_placement();
void measure_revisions();
void measure_heartbeats();
void measure_log();

} // namespace capacity

#endif
