#ifndef MASTICSHIFT_RANDOM_DAYS_DAY_TEXT_HPP
#define MASTICSHIFT_RANDOM_DAYS_DAY_TEXT_HPP

#include "random_day.hpp"

#include <string>

namespace masticshift::random_days
{

/// The day as a TOML file of the users' bench.
std::string to_toml(random_day const& day);

} // namespace masticshift::random_days

#endif
