#ifndef MASTICSHIFT_PLACEMENT_ADMISSION_CHECK_HPP
#define MASTICSHIFT_PLACEMENT_ADMISSION_CHECK_HPP

#include "fleet.hpp"

#include <placement/task.hpp>

namespace masticshift::placement
{

/// Checks whether a service can take a job with this number of tasks: it and
/// its dependencies have usable endpoints, and its queue has space.
admission check_service(fleet const& all, service_state const& service,
                        std::size_t tasks, time_point now);

/// Checks whether a job can be expected to end before its deadline. `borrowed`
/// is the number of slots that this entry has borrowed.
admission check_deadline(service_state const& service, job_state const& job,
                         time_point deadline, std::size_t borrowed,
                         time_point now);

} // namespace masticshift::placement

#endif
