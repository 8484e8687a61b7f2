#ifndef MASTICSHIFT_DISPATCH_RESPONSE_TIMEOUT_HPP
#define MASTICSHIFT_DISPATCH_RESPONSE_TIMEOUT_HPP

#include <core/time.hpp>

#include <optional>

namespace masticshift::dispatch
{

/// Estimates the timeout of orders from the response times of earlier ones, by
/// the smoothed mean and deviation of RFC 6298.
class response_timeout
{
public:
    /// Records a response that took this long.
    void answered(duration taken);

    /// The timeout after a response. Lost ones don't raise it.
    milliseconds current() const;

    /// The timeout for an endpoint that has not responded to this many calls in
    /// a row. It doubles from the second one on, as the endpoint may only be
    /// slow.
    milliseconds after(unsigned unanswered) const;

    /// The timeout for a call over a new connection that changes nothing and
    /// may be abandoned for another one at small cost. It doubles with each
    /// attempt, from 0 on.
    milliseconds of_attempt(unsigned attempt) const;

private:
    void observe(double taken_ms);
    /// Nothing while there are too few samples.
    std::optional<double> estimate_ms() const;

    double mean_ms_ = 0;
    double deviation_ms_ = 0;
    unsigned samples_ = 0;
};

} // namespace masticshift::dispatch

#endif
