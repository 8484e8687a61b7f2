#ifndef MASTICSHIFT_DISPATCH_TESTS_CRASHING_TASK_HPP
#define MASTICSHIFT_DISPATCH_TESTS_CRASHING_TASK_HPP

#include "dispatcher_fixture.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace masticshift::dispatch::testing
{

/// Carries out the pending starts and restarts each endpoint that has started a
/// task of this job. Returns the number of these starts.
inline int start_and_crash(dispatcher_fixture& f, std::string const& job)
{
    int crashes = 0;
    for (auto const& order : f.tested.take_starts())
    {
        auto& model = f.models.at(order.endpoint);
        auto const response = model.start(order, f.clock(), run_time, false);
        f.tested.start_answered(order, response, f.clock(), f.now);
        if (response != order_response::accepted ||
            !order.run.task.starts_with(job + "."))
            continue;
        model.restart(model.record().started_ms + 1);
        ++crashes;
    }
    f.advance(milliseconds(10));
    f.read_all();
    return crashes;
}

inline std::vector<finished_job> ended_of(std::vector<finished_job> const& all,
                                          std::string const& job)
{
    std::vector<finished_job> found;
    std::ranges::copy_if(all, std::back_inserter(found),
                         [&](auto const& each)
                         {
                             return each.id == job;
                         });
    return found;
}

} // namespace masticshift::dispatch::testing

#endif
