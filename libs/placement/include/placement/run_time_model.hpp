#ifndef MASTICSHIFT_PLACEMENT_RUN_TIME_MODEL_HPP
#define MASTICSHIFT_PLACEMENT_RUN_TIME_MODEL_HPP

#include <core/time.hpp>

namespace masticshift::placement
{

/// Learned run times of one service at speed 1.
///
/// Regresses the logarithm of the run time on that of the declared size, with
/// exponentially decaying weights. The declared run time is the prior. The
/// slope is the trust in declared sizes, from 0 to 1.
class run_time_model
{
public:
    explicit run_time_model(duration declared);

    /// The logarithm of a declared size, limited to what sizes may span.
    static float log_size_of(float size);

    /// Predicted seconds at speed 1.
    double predict(float log_size) const;

    /// Predicted seconds at speed 1 of a task of mean size.
    double mean() const;

    /// Records a run. `seconds` is the time taken times the speed of the
    /// endpoint. Returns the logarithm of actual over predicted.
    double learn(float log_size, double seconds);

    /// Multiplies all predictions by a factor, when speeds were rescaled.
    void rescale(double factor);

    double size_trust() const;
    double observations() const
    {
        return observations_;
    }

private:
    double observations_ = 0;
    double mean_x_ = 0;
    double mean_y_ = 0;
    double var_x_ = 0;
    double cov_xy_ = 0;
    double residual_var_ = 0;
};

} // namespace masticshift::placement

#endif
