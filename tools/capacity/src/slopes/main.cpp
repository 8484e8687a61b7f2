// Measures memory, message sizes and processor time of parts of an entry within
// one process, at several sizes. The slopes feed docs/CAPACITY.md.

#include "measurements.hpp"

int main()
{
    capacity::measure_homes();
    capacity::measure_placement();
    capacity::measure_revisions();
    capacity::measure_heartbeats();
    capacity::measure_log();
}
