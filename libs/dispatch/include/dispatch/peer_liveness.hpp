#ifndef MASTICSHIFT_DISPATCH_PEER_LIVENESS_HPP
#define MASTICSHIFT_DISPATCH_PEER_LIVENESS_HPP

#include <dispatch/peer_types.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// What is known of a peer.
enum class peer_state
{
    /// A heartbeat was received lately.
    alive,
    /// No heartbeat was received lately, and none was to be expected.
    unknown,
    /// It refuses connections, or heartbeats that were to be expected are
    /// missing.
    dead
};

/// What is known of the other entries from messages received from them.
///
/// An entry exchanges heartbeats with a few peers only. Silence is evidence of
/// a failure only for a peer that is watched (heartbeats go to it in every
/// interval) or that sends periodically by its own account.
class peer_liveness
{
public:
    struct peer
    {
        entry_heartbeat heartbeat;
        time_point last_received{};
        /// When the heartbeat arrived. Jobs of the peer arrive later than that
        /// and say nothing of its claims.
        time_point claimed{};
        /// Since when it has been alive without interruption.
        time_point alive_since{};
        /// Since when heartbeats have gone to it in every interval.
        std::optional<time_point> watched_since;
        /// It refused connections after the last message from it.
        bool refused = false;
        /// Its end has been reported by `take_ended`.
        bool end_reported = false;
        /// Hash of the address, for ranking.
        std::uint64_t hash = 0;
    };

    using peer_map = std::map<std::string, peer>;

    /// Ignores a heartbeat of an earlier incarnation than the known one.
    /// Returns whether it was taken.
    bool record_heartbeat(entry_heartbeat const& heartbeat, time_point now);

    /// Records a message other than a heartbeat, which may have been on its way
    /// since `sent_after`. Its sender sends heartbeats from then on. Returns
    /// false for an incarnation that has ended.
    bool record_message(entry_identity const& sender, time_point sent_after,
                        time_point now);

    void record_connection_refused(std::string const& address);

    /// To be called in every interval. A gap since the last call means that
    /// this process was paused: what was not received in it proves nothing, so
    /// no peer counts as dead until some time after it.
    void observe(time_point now);

    /// Whether `observe` has found a pause a short time ago.
    bool was_paused(time_point now) const;

    /// Tells which peers are sent a heartbeat in every interval.
    void set_watched(std::set<std::string> const& addresses, time_point now);

    peer_state state_of(peer const& known, time_point now) const;
    bool is_alive(peer const& known, time_point now) const;

    /// Whether the peer sends periodically and its last heartbeat is overdue,
    /// though not yet by enough to take it for dead.
    bool is_overdue(peer const& known, time_point now) const;

    peer const* find(std::string const& address) const;

    /// Addresses of the peers whose last heartbeat contained a claim.
    std::set<std::string> const& claimants() const
    {
        return claimants_;
    }

    /// Incarnations that have ended since the last call.
    std::vector<entry_identity> take_ended(time_point now);

    peer_map const& peers() const
    {
        return peers_;
    }

private:
    peer_map peers_;
    std::set<std::string> claimants_;
    std::optional<time_point> observed_;
    std::optional<time_point> resumed_;
    std::vector<entry_identity> ended_;
};

} // namespace masticshift::dispatch

#endif
