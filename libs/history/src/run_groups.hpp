#ifndef MASTICSHIFT_HISTORY_RUN_GROUPS_HPP
#define MASTICSHIFT_HISTORY_RUN_GROUPS_HPP

#include "typed_record.hpp"

#include <map>
#include <string>

namespace masticshift::history
{

/// Groups runs at endpoints by the key that `key_of` returns for their task.
template <class KeyOf>
std::map<std::string, std::vector<record const*>>
group_runs_by(std::vector<typed_record<run_started>> const& runs, KeyOf key_of)
{
    std::map<std::string, std::vector<record const*>> grouped;
    for (auto const& run : runs)
        grouped[key_of(run.content->task)].push_back(run.origin);
    return grouped;
}

/// The same key for all attempts at a task.
inline std::string task_key(attempt_name const& task)
{
    return task.id + "/" + std::to_string(task.index);
}

} // namespace masticshift::history

#endif
