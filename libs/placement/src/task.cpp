#include <placement/task.hpp>

namespace masticshift::placement
{

std::string_view name_of(task_result result)
{
    switch (result)
    {
    case task_result::ok:
        return "ok";
    case task_result::failed:
        return "failed";
    case task_result::refused_not_run:
        return "refused_not_run";
    case task_result::not_connected:
        return "not_connected";
    case task_result::lost:
        return "lost";
    case task_result::cancelled:
        break;
    }
    return "cancelled";
}

bool certainly_not_started(task_result result)
{
    return result == task_result::refused_not_run ||
           result == task_result::not_connected;
}

std::string_view name_of(placement_reason reason)
{
    switch (reason)
    {
    case placement_reason::fastest_free:
        return "fastest_free";
    case placement_reason::fastest_borrowed:
        return "fastest_borrowed";
    case placement_reason::slow_without_delay:
        return "slow_without_delay";
    case placement_reason::probe:
        break;
    }
    return "probe";
}

} // namespace masticshift::placement
