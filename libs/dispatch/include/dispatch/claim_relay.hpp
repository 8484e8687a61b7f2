#ifndef MASTICSHIFT_DISPATCH_CLAIM_RELAY_HPP
#define MASTICSHIFT_DISPATCH_CLAIM_RELAY_HPP

#include <dispatch/peer_liveness.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticshift::dispatch
{

/// Claims of entries that this entry exchanges no heartbeats with, as passed on
/// by others. A claim keeps the time at which its holder sent it, however often
/// it is passed on, so that the claim of a dead entry expires everywhere.
class claim_relay
{
public:
    /// Takes the claims of a heartbeat that are newer than the known ones.
    void record(std::vector<relayed_claim> const& claims, time_point now);

    /// Calls `function(holder, claim, sent)` for each claim that has not
    /// expired and that no message of the holder itself has replaced.
    template <class Function>
    void for_each(peer_liveness const& peers, time_point now,
                  Function const& function) const
    {
        for (auto const& [key, entry] : entries_)
        {
            if (!is_expired(entry, now) && !is_replaced(entry, peers))
                function(entry.holder, entry.claim, entry.sent);
        }
    }

    /// Forgets expired claims.
    void remove_expired(time_point now);

private:
    struct entry
    {
        entry_identity holder;
        dispatch_claim claim;
        time_point sent{};
    };

    static bool is_expired(entry const& known, time_point now);
    static bool is_replaced(entry const& known, peer_liveness const& peers);

    /// By address of the holder and cell.
    std::map<std::pair<std::string, std::string>, entry> entries_;
};

} // namespace masticshift::dispatch

#endif
