#include "admission_check.hpp"

#include "seconds.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace masticshift::placement
{

namespace
{

// A job is refused only when its predicted response time, divided by this
// factor, still exceeds the time to its deadline. The larger factor applies
// until enough runs have been recorded for reliable predictions.
constexpr double learned_factor = 2;
constexpr double unlearned_factor = 4;
constexpr double min_learned_runs = 50;

std::string never_runnable_detail(config::service_config const& service)
{
    if (service.endpoints.empty())
        return "service '" + service.name + "' has no endpoints";
    return "no endpoint of service '" + service.name + "' has " +
           std::to_string(service.needs_accelerators) + " accelerators and " +
           std::to_string(service.needs_memory_mb) + " MB of memory";
}

/// Looks for a service without a usable endpoint among the direct and indirect
/// dependencies of a service.
class dependency_search
{
public:
    dependency_search(fleet const& all, time_point now) : all_(all), now_(now)
    {
    }

    /// Name of the first unusable dependency, or null.
    std::string const* unusable(config::service_config const& service)
    {
        for (auto const& name : service.depends_on)
        {
            if (std::ranges::find(seen_, name) != seen_.end())
                continue;
            seen_.push_back(name);
            auto const* found = all_.find(name);
            if (found == nullptr)
                return &name;
            if (!found->config.endpoints.empty() && !found->usable(now_))
                return &name;
            if (auto const* indirect = unusable(found->config))
                return indirect;
        }
        return nullptr;
    }

private:
    fleet const& all_;
    time_point now_;
    std::vector<std::string_view> seen_;
};

admission check_queue(service_state const& service, std::size_t tasks)
{
    std::size_t const limit = service.config.queue_limit;
    if (tasks > limit)
        return {result_code::too_many_tasks,
                "service '" + service.config.name + "' queues at most " +
                    std::to_string(limit) + " tasks"};
    if (service.queued_tasks + tasks > limit)
        return {result_code::overloaded,
                "the queue of service '" + service.config.name + "' is full"};
    return {};
}

/// Predicted seconds of queued work that would start before the job.
double work_ahead(service_state const& service, job_state const& job)
{
    double const key = service.queue.key_of(job.remaining, job.admitted);
    double sum = 0;
    for (auto const& queued : service.queue)
    {
        if (queued.key > key)
            break;
        sum += queued.job->remaining;
    }
    return sum;
}

} // namespace

admission check_service(fleet const& all, service_state const& service,
                        std::size_t tasks, time_point now)
{
    auto const& config = service.config;
    if (service.members.empty())
        return {result_code::never_runnable, never_runnable_detail(config)};
    if (!service.usable(now))
        return {result_code::dependency_unavailable,
                "service '" + config.name + "' has no usable endpoint"};
    if (auto const* name = dependency_search(all, now).unusable(config))
        return {result_code::dependency_unavailable,
                "service '" + *name + "' has no usable endpoint"};
    return check_queue(service, tasks);
}

admission check_deadline(service_state const& service, job_state const& job,
                         time_point deadline, std::size_t borrowed,
                         time_point now)
{
    bool const learned = service.model.observations() >= min_learned_runs;
    double const factor = learned ? learned_factor : unlearned_factor;
    double const allowed = to_seconds(deadline - now) * factor;
    double const longest = job.tasks[job.first()].work;
    double const run_time = longest / service.best_speed(now);
    double const capacity =
        service.owned_capacity() + static_cast<double>(borrowed);
    auto const response = [&](double ahead)
    {
        return run_time + (capacity > 0 ? ahead / capacity : 0);
    };
    if (allowed > 0 && response(service.queued_work) <= allowed)
        return {};
    if (allowed > 0 && response(work_ahead(service, job)) <= allowed)
        return {};
    return {result_code::deadline_unreachable,
            "the predicted end of the job is after its deadline"};
}

} // namespace masticshift::placement
