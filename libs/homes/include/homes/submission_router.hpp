#ifndef MASTICSHIFT_HOMES_SUBMISSION_ROUTER_HPP
#define MASTICSHIFT_HOMES_SUBMISSION_ROUTER_HPP

#include <homes/inherited_tables.hpp>
#include <homes/submission_id.hpp>

#include <core/time.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace masticshift::homes
{

enum class route_kind
{
    /// The id names this process: ask its `submission_table`.
    local,
    /// This process answers for the home: ask its `inherited_tables`.
    inherited,
    /// Ask the entry at `address`.
    forward,
    /// No known peer can tell: `outcome_unknown`, and nothing was started.
    unknown_home
};

std::string_view name_of(route_kind kind);

struct route
{
    route_kind kind = route_kind::unknown_home;
    /// Peer address. Set for `forward`.
    std::string address;
};

enum class call_origin
{
    caller,
    /// Another entry has forwarded the call. It is not forwarded again.
    peer
};

struct submission_router_options
{
    process_name self;
    /// A succession that was not heard of for this long is dropped.
    milliseconds succession_retention{600'000};
    /// Successions at most; the one not heard of for longest goes first.
    std::size_t max_successions = 1'024;
};

/// Tells which entry decides about an id. A wrong view costs an answer, never
/// a second start: only the process that an id names ever starts it.
class submission_router
{
public:
    /// `inherited` has to outlive the router.
    submission_router(submission_router_options options,
                      inherited_tables const& inherited);

    /// Peer addresses that calls may be forwarded to, all others never.
    void set_peers(std::set<std::string> addresses);

    /// The entry at `successor` answers for a stopped process.
    void learn_succession(process_name const& stopped, std::string successor,
                          time_point now);

    /// Drops successions that were not heard of for too long.
    void expire(time_point now);

    route find_route(submission_id const& id, call_origin origin) const;

private:
    struct succession
    {
        std::string successor;
        time_point heard;
    };

    route forward_to(std::string const& address) const;
    void drop_stalest_succession();

    submission_router_options options_;
    inherited_tables const* inherited_;
    std::set<std::string> peers_;
    std::map<process_name, succession> successions_;
};

} // namespace masticshift::homes

#endif
