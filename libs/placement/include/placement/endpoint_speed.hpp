#ifndef MASTICSHIFT_PLACEMENT_ENDPOINT_SPEED_HPP
#define MASTICSHIFT_PLACEMENT_ENDPOINT_SPEED_HPP

namespace masticshift::placement
{

/// Learned speed of an endpoint relative to the others of a service.
class endpoint_speed
{
public:
    /// 1 until something is learned.
    double value() const
    {
        return value_;
    }

    /// Records the logarithm of actual over predicted run time of one run,
    /// predicted with the present value.
    void learn(double log_residual);

    void rescale(double factor);

private:
    float value_ = 1;
    float runs_ = 0;
};

} // namespace masticshift::placement

#endif
