#ifndef MASTICSHIFT_HISTORY_TYPED_RECORD_HPP
#define MASTICSHIFT_HISTORY_TYPED_RECORD_HPP

#include <history/history.hpp>

#include <vector>

namespace masticshift::history
{

/// A record whose event has a known type, with direct access to that event.
template <class Event>
struct typed_record
{
    record const* origin = nullptr;
    Event const* content = nullptr;
};

/// All events of one type, in the order of the history.
template <class Event>
std::vector<typed_record<Event>> collect(recorded_history const& history)
{
    std::vector<typed_record<Event>> found;
    for (auto const& each : history.records)
    {
        if (auto const* const what = std::get_if<Event>(&each.content))
            found.push_back({&each, what});
    }
    return found;
}

} // namespace masticshift::history

#endif
