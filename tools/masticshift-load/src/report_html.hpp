#ifndef MASTICSHIFT_LOAD_REPORT_HTML_HPP
#define MASTICSHIFT_LOAD_REPORT_HTML_HPP

#include "load_results.hpp"

#include <string>

namespace masticshift::load
{

/// A self-contained page: the figures, the distribution of the slowdown, and
/// the slowdown and the rate of jobs over time.
std::string to_html(load_results const& results, std::string const& title);

} // namespace masticshift::load

#endif
