#ifndef MASTICSHIFT_GATEWAY_STATUS_TEXT_HPP
#define MASTICSHIFT_GATEWAY_STATUS_TEXT_HPP

#include "cell_manager.hpp"

#include <string>

namespace masticshift::gateway
{

/// The state of an entry for operators, as JSON: its configuration, the
/// dispatchers it knows, and the endpoints of the cells that it dispatches.
std::string status_text(gateway_state const& state, cell_manager const& manager,
                        std::size_t open_jobs, bool store_reachable,
                        time_point now);

} // namespace masticshift::gateway

#endif
