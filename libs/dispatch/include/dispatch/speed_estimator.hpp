#ifndef MASTICSHIFT_DISPATCH_SPEED_ESTIMATOR_HPP
#define MASTICSHIFT_DISPATCH_SPEED_ESTIMATOR_HPP

#include <core/time.hpp>

#include <string>
#include <unordered_map>

namespace masticshift::dispatch
{

/// Learns from successful runs how fast each VM is, and by which ratio the run
/// times of each queue differ from the declared ones.
///
/// A run is expected to take `estimate * queue ratio / VM speed`. Both factors
/// are averages of logarithms, so that a run of twice the expected length
/// weighs as much as one of half of it.
class speed_estimator
{
public:
    /// Expected run time. An unknown VM or queue counts as average.
    duration expected(std::string const& queue, std::string const& vm,
                      duration estimate) const;

    /// The same on a VM of average speed.
    duration expected(std::string const& queue, duration estimate) const;

    /// Speed relative to the average of 1; 2 is twice as fast.
    double speed(std::string const& vm) const;

    /// Records a successful run.
    void observe(std::string const& queue, std::string const& vm,
                 duration estimate, duration taken);

    /// Records a run that has taken `taken` so far and is still running.
    void observe_lower_bound(std::string const& queue, std::string const& vm,
                             duration estimate, duration taken);

    /// Adopts a speed learnt by another process, unless one is known here.
    void adopt(std::string const& vm, double speed);

    std::unordered_map<std::string, double> speeds() const;

private:
    struct average
    {
        double log_value = 0;
        unsigned samples = 0;

        void add(double sample, double min_weight);
    };

    double log_ratio(std::string const& queue) const;
    double log_speed(std::string const& vm) const;

    std::unordered_map<std::string, average> queues_;
    std::unordered_map<std::string, average> vms_;
};

} // namespace masticshift::dispatch

#endif
