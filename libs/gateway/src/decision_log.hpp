#ifndef MASTICSHIFT_GATEWAY_DECISION_LOG_HPP
#define MASTICSHIFT_GATEWAY_DECISION_LOG_HPP

#include <dispatch/dispatcher.hpp>

#include <vector>

namespace masticshift::gateway
{

/// Writes one line for each decision of the dispatcher.
void log_decisions(std::vector<dispatch::decision> const& decisions);

} // namespace masticshift::gateway

#endif
