#ifndef MASTICSHIFT_PLACEMENT_STATUS_REPORT_HPP
#define MASTICSHIFT_PLACEMENT_STATUS_REPORT_HPP

#include "fleet.hpp"

#include <placement/status.hpp>

#include <string_view>

namespace masticshift::placement
{

engine_status report_status(fleet const& all, std::string_view policy,
                            time_point now);

} // namespace masticshift::placement

#endif
