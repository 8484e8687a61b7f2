#ifndef MASTICSHIFT_HISTORY_RUN_COUNT_HPP
#define MASTICSHIFT_HISTORY_RUN_COUNT_HPP

#include "seen.hpp"

#include <map>
#include <string>

namespace masticshift::history
{

/// Runs at endpoints by the key that `key_of` gives to a task.
template <class KeyOf>
std::map<std::string, std::vector<record const*>>
runs_by(std::vector<seen<run_started>> const& runs, KeyOf key_of)
{
    std::map<std::string, std::vector<record const*>> grouped;
    for (auto const& run : runs)
        grouped[key_of(run.what->task)].push_back(run.at);
    return grouped;
}

/// All attempts at a task have the same key.
inline std::string index_key(task_name const& task)
{
    return task.id + "/" + std::to_string(task.index);
}

} // namespace masticshift::history

#endif
