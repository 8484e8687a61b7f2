#ifndef MASTICSHIFT_DISPATCH_RESPONSE_TIMEOUT_HPP
#define MASTICSHIFT_DISPATCH_RESPONSE_TIMEOUT_HPP

#include <core/time.hpp>

namespace masticshift::dispatch
{

/// Estimates the timeout of orders from the response times of earlier ones, by
/// the smoothed mean and deviation of RFC 6298.
class response_timeout
{
public:
    /// Records a response that took this long.
    void answered(duration taken);

    /// Records an order without a response within the timeout.
    void unanswered();

    /// The present timeout.
    milliseconds current() const;

private:
    void observe(double taken_ms);

    double mean_ms_ = 0;
    double deviation_ms_ = 0;
    unsigned samples_ = 0;
};

} // namespace masticshift::dispatch

#endif
