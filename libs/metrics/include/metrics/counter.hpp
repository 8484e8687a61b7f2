#ifndef MASTICSHIFT_METRICS_COUNTER_HPP
#define MASTICSHIFT_METRICS_COUNTER_HPP

#include <cstdint>

namespace masticshift::metrics
{

/// A Prometheus counter: a number that never decreases.
class counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_ += amount;
    }

    /// Sets the value to a total that is counted elsewhere.
    void set_total(std::uint64_t total)
    {
        value_ = total;
    }

    std::uint64_t value() const
    {
        return value_;
    }

private:
    std::uint64_t value_ = 0;
};

} // namespace masticshift::metrics

#endif
