#ifndef MASTICSHIFT_PLACEMENT_RUN_TIME_MODEL_HPP
#define MASTICSHIFT_PLACEMENT_RUN_TIME_MODEL_HPP

#include <core/time.hpp>

namespace masticshift::placement
{

/// Learned run times of one service, at an endpoint of speed 1.
///
/// Linear regression of the logarithm of the run time on the logarithm of the
/// declared task size, with exponentially decaying weights. The declared run
/// time is the prior. The slope, from 0 to 1, is the trust in declared sizes.
class run_time_model
{
public:
    explicit run_time_model(duration declared);

    /// The logarithm of a declared size, clamped to the range of valid sizes.
    static float log_size_of(float size);

    /// Predicted seconds at speed 1.
    double predict(float log_size) const;

    /// Predicted seconds at speed 1 of a task of mean size.
    double mean() const;

    /// Updates the model from one run. `seconds` is its run time multiplied by
    /// the speed of the endpoint. Returns the logarithm of the actual divided
    /// by the predicted run time.
    double learn(float log_size, double seconds);

    /// Multiplies all predictions by `factor`, after the endpoints' speeds were
    /// rescaled by it.
    void rescale(double factor);

    /// 0: declared sizes are ignored; 1: run times are taken as proportional
    /// to them.
    double size_trust() const;
    /// Number of runs recorded, up to a fixed maximum.
    double observations() const
    {
        return observations_;
    }

private:
    double observations_ = 0;
    /// x: logarithm of the declared size; y: logarithm of the run time in
    /// seconds.
    double mean_x_ = 0;
    double mean_y_ = 0;
    double var_x_ = 0;
    double cov_xy_ = 0;
    double residual_var_ = 0;
};

} // namespace masticshift::placement

#endif
