#include <dispatch/speed_estimator.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace masticshift::dispatch
{

namespace
{

/// Weight of a new sample once many are known. The weight of old samples halves
/// with every eight runs of a VM, in some two seconds at the usual load.
constexpr double vm_weight = 0.08;

/// A queue gets a sample from each of its runs, so that a small weight adapts
/// fast enough.
constexpr double queue_weight = 0.01;

/// Bound of the speeds taken from other processes.
constexpr double largest_speed = 1'000;

/// Lower bound of run times, as the logarithm of 0 ms is infinite.
constexpr duration min_run_time = std::chrono::microseconds(500);

double log_of(duration taken, duration estimate)
{
    using seconds = std::chrono::duration<double>;
    return std::log(seconds(std::max(taken, min_run_time)) /
                    seconds(std::max(estimate, min_run_time)));
}

} // namespace

void speed_estimator::average::add(double sample, double min_weight)
{
    ++samples;
    auto const weight = std::max(min_weight, 1.0 / samples);
    log_value += weight * (sample - log_value);
}

double speed_estimator::log_ratio(std::string const& queue) const
{
    auto const found = queues_.find(queue);
    return found == queues_.end() ? 0 : found->second.log_value;
}

double speed_estimator::log_speed(std::string const& vm) const
{
    auto const found = vms_.find(vm);
    return found == vms_.end() ? 0 : found->second.log_value;
}

duration speed_estimator::expected(std::string const& queue,
                                   std::string const& vm,
                                   duration estimate) const
{
    auto const factor = std::exp(log_ratio(queue) - log_speed(vm));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::max(estimate, min_run_time)) *
        factor);
}

duration speed_estimator::expected(std::string const& queue,
                                   duration estimate) const
{
    return expected(queue, {}, estimate);
}

double speed_estimator::speed(std::string const& vm) const
{
    return std::exp(log_speed(vm));
}

void speed_estimator::observe(std::string const& queue, std::string const& vm,
                              duration estimate, duration taken)
{
    auto const sample = log_of(taken, estimate);
    auto const vm_speed = log_speed(vm);
    auto const ratio = log_ratio(queue);
    if (queues_.contains(queue))
        vms_[vm].add(ratio - sample, vm_weight);
    queues_[queue].add(sample + vm_speed, queue_weight);
}

void speed_estimator::observe_lower_bound(std::string const& queue,
                                          std::string const& vm,
                                          duration estimate, duration taken)
{
    if (expected(queue, vm, estimate) < taken)
        vms_[vm].add(log_ratio(queue) - log_of(taken, estimate), vm_weight);
}

void speed_estimator::adopt(std::string const& vm, double speed)
{
    // Also false for what is no number.
    bool const valid = speed >= 1 / largest_speed && speed <= largest_speed;
    if (!valid || vms_.contains(vm))
        return;
    vms_[vm] = {std::log(speed), 4};
}

std::unordered_map<std::string, double> speed_estimator::speeds() const
{
    std::unordered_map<std::string, double> all;
    for (auto const& [vm, known] : vms_)
        all[vm] = std::exp(known.log_value);
    return all;
}

} // namespace masticshift::dispatch
