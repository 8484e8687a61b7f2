#ifndef MASTICSHIFT_OVERLOAD_USABLE_CAPACITY_HPP
#define MASTICSHIFT_OVERLOAD_USABLE_CAPACITY_HPP

#include <core/time.hpp>

#include <cstdint>

namespace masticshift::overload
{

/// Learns what part of the sum of all capacities tasks can use: what is left on
/// a server beside its tasks may be too small for each that waits.
class usable_capacity
{
public:
    /// `used` of `sum` is in use while a task waits that fits nowhere.
    void observe_full(std::int64_t used, std::int64_t sum, time_point now);

    /// Never more than `sum`, and never under half of it.
    std::int64_t of(std::int64_t sum) const;

private:
    double part_ = 1;
    time_point observed_{};
};

} // namespace masticshift::overload

#endif
