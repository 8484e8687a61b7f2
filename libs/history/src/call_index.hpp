#ifndef MASTICSHIFT_HISTORY_CALL_INDEX_HPP
#define MASTICSHIFT_HISTORY_CALL_INDEX_HPP

#include "seen.hpp"

#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace masticshift::history
{

/// What a caller recorded of one call. Each part may be absent.
struct call_trace
{
    seen<call_sent> sent;
    seen<call_answered> answered;
    seen<call_broken> broken;
};

/// Calls by their source and number.
using call_key = std::pair<std::string_view, std::uint64_t>;
using call_index = std::map<call_key, call_trace>;

call_index calls_of(recorded_history const& history);

/// What callers said of an id, over all its calls.
struct submission
{
    call_kind kind = call_kind::job;
    bool idempotent = true;
};

using submission_index = std::unordered_map<std::string_view, submission>;

submission_index submissions_of(recorded_history const& history);

} // namespace masticshift::history

#endif
