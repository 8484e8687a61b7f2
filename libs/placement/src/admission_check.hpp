#ifndef MASTICSHIFT_PLACEMENT_ADMISSION_CHECK_HPP
#define MASTICSHIFT_PLACEMENT_ADMISSION_CHECK_HPP

#include "fleet.hpp"

#include <placement/task.hpp>

namespace masticshift::placement
{

/// Whether a service can take a job of so many tasks at all.
admission check_service(fleet const& all, service_state const& service,
                        std::size_t tasks, time_point now);

/// Whether a job can be expected to end in time. `borrowed` is the number of
/// slots on loan to this entry.
admission check_deadline(service_state const& service, job_state const& job,
                         time_point deadline, std::size_t borrowed,
                         time_point now);

} // namespace masticshift::placement

#endif
