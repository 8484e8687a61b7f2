#ifndef MASTICSHIFT_DISPATCH_SPEED_ESTIMATOR_HPP
#define MASTICSHIFT_DISPATCH_SPEED_ESTIMATOR_HPP

#include <core/time.hpp>

#include <string>
#include <unordered_map>

namespace masticshift::dispatch
{

/// Learns how fast each VM is, and how far the declared run times of each
/// queue are off, from runs that ended well.
///
/// A run takes `estimate * queue ratio / VM speed`. Both factors are averages
/// of logarithms, so that a run of twice the length weighs as much as one of
/// half.
class speed_estimator
{
public:
    /// Run time to expect. A VM or queue that is not known counts as average.
    duration expected(std::string const& queue, std::string const& vm,
                      duration estimate) const;

    /// The same on a VM of average speed.
    duration expected(std::string const& queue, duration estimate) const;

    /// 1 is average, 2 twice as fast.
    double speed(std::string const& vm) const;

    /// Counts a run that ended well.
    void observe(std::string const& queue, std::string const& vm,
                 duration estimate, duration taken);

    /// Counts a run that takes longer than `taken` and still goes on.
    void observe_lower_bound(std::string const& queue, std::string const& vm,
                             duration estimate, duration taken);

    /// Takes over a speed that another process has learnt, where none is known
    /// here.
    void adopt(std::string const& vm, double speed);

    std::unordered_map<std::string, double> speeds() const;

private:
    struct average
    {
        double log_value = 0;
        unsigned samples = 0;

        void add(double sample, double least_weight);
    };

    double log_ratio(std::string const& queue) const;
    double log_speed(std::string const& vm) const;

    std::unordered_map<std::string, average> queues_;
    std::unordered_map<std::string, average> vms_;
};

} // namespace masticshift::dispatch

#endif
