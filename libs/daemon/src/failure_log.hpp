#ifndef MASTICSHIFT_DAEMON_FAILURE_LOG_HPP
#define MASTICSHIFT_DAEMON_FAILURE_LOG_HPP

#include <core/outcome.hpp>

#include <string_view>

namespace masticshift::daemon
{

/// Logs a warning event with the code and the detail of a failure.
void log_failure(std::string_view event, failure const& error);

} // namespace masticshift::daemon

#endif
