#ifndef MASTICSHIFT_DISPATCH_RESPONSE_TIMEOUT_HPP
#define MASTICSHIFT_DISPATCH_RESPONSE_TIMEOUT_HPP

#include <core/time.hpp>

namespace masticshift::dispatch
{

/// Estimates how long to wait for the answer to an order, from the answers that
/// came: the smoothed mean and deviation of RFC 6298.
class response_timeout
{
public:
    /// An answer came after this time.
    void answered(duration taken);

    /// No answer came within the limit.
    void unanswered();

    /// After this time an answer is no longer to be expected.
    milliseconds limit() const;

private:
    void observe(double taken_ms);

    double mean_ms_ = 0;
    double deviation_ms_ = 0;
    unsigned samples_ = 0;
};

} // namespace masticshift::dispatch

#endif
