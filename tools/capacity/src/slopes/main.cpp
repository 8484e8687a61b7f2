// Measures what each remembered thing, message and decision costs within one
// process, at several sizes.

#include "measurements.hpp"

int main()
{
    capacity::measure_homes();
    capacity::measure_placement();
    capacity::measure_revisions();
    capacity::measure_heartbeats();
    capacity::measure_log();
}
