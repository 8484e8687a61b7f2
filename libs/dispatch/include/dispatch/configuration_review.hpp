#ifndef MASTICSHIFT_DISPATCH_CONFIGURATION_REVIEW_HPP
#define MASTICSHIFT_DISPATCH_CONFIGURATION_REVIEW_HPP

#include <core/finding.hpp>
#include <dispatch/configuration.hpp>

namespace masticshift::dispatch
{

/// Looks for queues that can never match a call and for limits that contradict
/// each other. Places are `queue.NAME.KEY` and `limits.KEY`.
findings review(configuration const& settings);

} // namespace masticshift::dispatch

#endif
