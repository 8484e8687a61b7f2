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
    /// This process is the id's home, which owns the id: ask its
    /// `submission_table`.
    local,
    /// This process holds the table of the stopped home: ask its
    /// `inherited_tables`.
    inherited,
    /// Forward the call to the entry at `address`.
    forward,
    /// No known entry can answer: answer `outcome_unknown`; this call starts
    /// nothing.
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
    /// Another entry has forwarded the call. It is not forwarded again, so that
    /// calls can't loop.
    peer
};

struct submission_router_options
{
    process_name self;
    /// A succession that was not reported for this long is removed.
    milliseconds succession_retention{600'000};
    /// Maximum number of successions; beyond it the one whose last report is
    /// oldest is removed.
    std::size_t max_successions = 1'024;
};

/// Finds the entry that decides about an id: its home, or the successor of a
/// stopped home. Outdated routes may make an answer unavailable but never start
/// a submission twice, since only the home of an id starts it.
class submission_router
{
public:
    /// `inherited` has to outlive the router.
    submission_router(submission_router_options options,
                      inherited_tables const& inherited);

    /// Sets the peer addresses to which calls may be forwarded.
    void set_peers(std::set<std::string> addresses);

    /// Records that the entry at `successor` answers for a stopped process.
    void learn_succession(process_name const& stopped, std::string successor,
                          time_point now);

    /// Removes successions that were not reported within their retention.
    void expire(time_point now);

    route find_route(submission_id const& id, call_origin origin) const;

private:
    struct succession
    {
        std::string successor;
        time_point last_reported;
    };

    route forward_to(std::string const& address) const;
    void remove_stalest_succession();

    submission_router_options options_;
    inherited_tables const* inherited_;
    std::set<std::string> peers_;
    std::map<process_name, succession> successions_;
};

} // namespace masticshift::homes

#endif
