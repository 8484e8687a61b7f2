#ifndef MASTICSHIFT_PLACEMENT_ENDPOINT_SPEED_HPP
#define MASTICSHIFT_PLACEMENT_ENDPOINT_SPEED_HPP

namespace masticshift::placement
{

/// Learned speed of an endpoint relative to the other endpoints of a service.
class endpoint_speed
{
public:
    /// 1 before the first run is recorded.
    double value() const
    {
        return value_;
    }

    /// Updates the speed from one run. `log_residual` is the logarithm of the
    /// actual run time divided by the one predicted with the present value.
    void learn(double log_residual);

    /// Multiplies the speed by `factor`, within fixed bounds.
    void rescale(double factor);

private:
    float value_ = 1;
    float runs_ = 0;
};

} // namespace masticshift::placement

#endif
