#ifndef MASTICSHIFT_HISTORY_SEEN_HPP
#define MASTICSHIFT_HISTORY_SEEN_HPP

#include <history/history.hpp>

#include <vector>

namespace masticshift::history
{

/// An event of a known type and the record that it stands in.
template <class Event>
struct seen
{
    record const* at = nullptr;
    Event const* what = nullptr;
};

/// All events of one type, in the order of the history.
template <class Event>
std::vector<seen<Event>> collect(recorded_history const& history)
{
    std::vector<seen<Event>> found;
    for (auto const& entry : history.records)
    {
        if (auto const* const what = std::get_if<Event>(&entry.content))
            found.push_back({&entry, what});
    }
    return found;
}

} // namespace masticshift::history

#endif
