#ifndef MASTICSHIFT_LOAD_REPORT_JSON_HPP
#define MASTICSHIFT_LOAD_REPORT_JSON_HPP

#include "load_results.hpp"

#include <boost/json/object.hpp>

namespace masticshift::load
{

boost::json::object to_json(load_results const& results);

} // namespace masticshift::load

#endif
