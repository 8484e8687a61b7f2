#ifndef MASTICSHIFT_RANDOM_DAYS_RANDOM_DAY_HPP
#define MASTICSHIFT_RANDOM_DAYS_RANDOM_DAY_HPP

#include "trouble_kind.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace masticshift::random_days
{

/// How long traffic lasts.
inline constexpr double day_length_s = 34.0;

using field_value = std::variant<double, std::int64_t, std::string>;

struct trouble_field
{
    std::string name;
    field_value value;
};

struct trouble
{
    trouble_kind const* kind = nullptr;
    /// Seconds from the start of traffic.
    double at = 0;
    /// All but `at` and `kind`.
    std::vector<trouble_field> fields;
};

/// The number of troubles lies between these bounds.
struct trouble_bounds
{
    unsigned least = 2;
    unsigned most = 10;
};

struct random_day
{
    unsigned seed = 0;
    std::vector<trouble> troubles;
};

/// Draws a day. The same arguments give the same day on any machine. About half
/// of the troubles begin soon after another one.
random_day draw_day(unsigned seed, trouble_bounds bounds);

} // namespace masticshift::random_days

#endif
