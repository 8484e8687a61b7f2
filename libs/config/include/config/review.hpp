#ifndef MASTICSHIFT_CONFIG_REVIEW_HPP
#define MASTICSHIFT_CONFIG_REVIEW_HPP

#include <config/operator_configuration.hpp>
#include <core/finding.hpp>

namespace masticshift::config
{

/// Looks for what can never match and for limits that contradict each other in
/// a configuration that has passed the checks of the parser.
findings review(operator_configuration const& configuration);

} // namespace masticshift::config

#endif
