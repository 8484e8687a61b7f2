#ifndef MASTICSHIFT_DISPATCH_PROCESS_END_HPP
#define MASTICSHIFT_DISPATCH_PROCESS_END_HPP

#include <dispatch/endpoint_calls.hpp>

#include <cstdint>
#include <optional>

namespace masticshift::dispatch
{

/// Proof that the process of an endpoint has ended, and its runs with it.
///
/// Only what the next process says is proof. A connection that is refused,
/// reset or silent says something about the link: the process may run on behind
/// it.
class process_end
{
public:
    /// From the response to a list order. Another process at the address at
    /// which the endpoint was listed last is proof. At another address, which a
    /// record may name by mistake, it is none. Responses to other orders may be
    /// older than the last list.
    static std::optional<process_end>
    from_list_response(order_response response, bool was_listed_here)
    {
        if (response != order_response::other_instance || !was_listed_here)
            return std::nullopt;
        return process_end();
    }

    /// From the start times in two lists of an endpoint, 0 if there was none.
    static std::optional<process_end> from_start_times(std::int64_t former,
                                                       std::int64_t latest)
    {
        if (former == 0 || latest == 0 || former == latest)
            return std::nullopt;
        return process_end();
    }

private:
    process_end() = default;
};

} // namespace masticshift::dispatch

#endif
