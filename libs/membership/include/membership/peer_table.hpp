#ifndef MASTICSHIFT_MEMBERSHIP_PEER_TABLE_HPP
#define MASTICSHIFT_MEMBERSHIP_PEER_TABLE_HPP

#include <core/time.hpp>
#include <membership/heartbeat.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::membership
{

/// What is known of one peer. Fields that no heartbeat or VM list has given are
/// empty or zero.
struct peer_state
{
    std::string address;
    /// From its heartbeats; before the first one, from the VM list.
    std::string data_centre;
    std::int64_t incarnation = 0;
    int generation = 0;
    std::uint64_t revision = 0;
    bool draining = false;
    /// Whether the VM list shows it as leaving.
    bool leaving = false;
    std::vector<service_load> loads;
    std::int64_t sequence = 0;
    /// Time of the last heartbeat received from it, as a call or as a response.
    /// `time_point::min()` if there was none.
    time_point last_heartbeat = time_point::min();
    /// Time of the last failed call to it. Reset to `time_point::min()` by a
    /// heartbeat from it.
    time_point last_failed = time_point::min();

    /// Whether the settings name it.
    bool configured = false;
    /// Whether the VM list names it.
    bool listed = false;
    /// Recent earlier incarnations, whose late heartbeats are ignored.
    std::vector<std::int64_t> earlier_incarnations;
};

/// An entry of a VM list.
struct listed_entry
{
    std::string address;
    std::string data_centre;
    bool leaving = false;
};

struct peer_table_settings
{
    milliseconds heartbeat_interval{500};
    /// A peer of the own data centre counts as dead this long after its last
    /// heartbeat.
    milliseconds dead_after{2'500};
    /// A dead peer that neither the settings nor the VM list name is forgotten
    /// this long after it counted as dead.
    milliseconds forget_after{60'000};
    std::size_t max_peers = 1'024;
};

/// What a received heartbeat shows about its sender.
enum class heartbeat_result
{
    /// A peer that was already live.
    known,
    /// A peer from which no heartbeat had been received before.
    joined,
    /// A new incarnation of a known peer.
    restarted,
    /// The same incarnation of a peer that had counted as dead.
    returned,
    /// Late or repeated; ignored.
    stale,
    /// From this entry's own address, or the table is full; ignored.
    refused
};

std::string_view name_of(heartbeat_result result);

/// Which peers and data centres this entry can reach.
struct isolation_view
{
    std::size_t known = 0;
    std::size_t live = 0;
    /// Peers are known, but none of them is live.
    bool isolated = false;
    /// Other data centres of which no entry is live.
    std::vector<std::string> unreachable_data_centres;
};

/// The peers of one entry, with their state as of their last heartbeats.
class peer_table
{
public:
    peer_table(process_id self, std::string data_centre,
               peer_table_settings settings);

    /// Sets the peers named by the settings. The own address is left out.
    void set_configured(std::vector<std::string> const& addresses);

    /// Sets the entries of the newest VM list, replacing those of the last one.
    void set_listed(std::vector<listed_entry> const& entries);

    heartbeat_result receive(heartbeat const& beat, time_point now);

    /// Records a failed call to a peer.
    void record_failed_call(std::string const& address, time_point now);

    /// Forgets peers that have been dead for `forget_after` and that neither
    /// the settings nor the VM list name. Returns their addresses.
    std::vector<std::string> expire(time_point now);

    bool known(std::string const& address) const;
    peer_state const* find(std::string const& address) const;
    std::map<std::string, peer_state, std::less<>> const& all() const;

    /// A peer of the own data centre is live for `dead_after` after its last
    /// heartbeat. Peers of other data centres send heartbeats to this entry
    /// more rarely: they are live for `dead_after` plus `rotation_intervals`
    /// intervals, unless a call to them has failed since.
    bool is_live(peer_state const& peer, time_point now) const;

    /// Live peers, ordered by address. This entry is not among them.
    std::vector<peer_state const*> live(time_point now) const;
    std::vector<peer_state const*> live_in(std::string_view data_centre,
                                           time_point now) const;

    /// Addresses of the peers to call with a heartbeat in interval number
    /// `round`.
    ///
    /// Within a data centre, each pair of entries exchanges one heartbeat and
    /// its response per interval: a hash of both addresses decides which of
    /// them calls. The other one calls too if it has received no heartbeat from
    /// its peer for `call_after_missed_intervals` intervals. The same holds for
    /// peers whose data centre is not known yet, and for peers of other data
    /// centres if there are at most `direct_peers` of these.
    ///
    /// With more of these, two entries of each data centre call one entry of
    /// each other data centre. All entries derive the senders from the live
    /// entries in the same way, and the receivers rotate.
    ///
    /// An update thus spreads from any entry to all within `gossip_rounds`
    /// intervals, even while half of the entries are dead but not yet known to
    /// be, as long as each data centre has a live entry that can be reached.
    /// With 56 entries in 7 data centres, an entry sends at most 11 heartbeats
    /// and responses per interval on average.
    std::vector<std::string> heartbeat_targets(std::int64_t round,
                                               time_point now) const;

    isolation_view isolation(time_point now) const;

    process_id const& self() const;
    std::string const& data_centre() const;

    /// Maximum number of peers in other data centres at which all of them are
    /// called directly.
    static constexpr std::size_t direct_peers = 8;
    /// Intervals within which an update reaches all entries.
    static constexpr int gossip_rounds = 6;
    /// Intervals without a heartbeat from a peer after which it is called
    /// whatever the hash decides.
    static constexpr int call_after_missed_intervals = 2;
    /// Intervals in which the rotation reaches each entry of a data centre.
    static constexpr int rotation_intervals = 16;

private:
    using peer_list = std::vector<peer_state const*>;

    /// The peer with this address, added if it is new. Null for the own address
    /// and if the table is full.
    peer_state* add(std::string const& address);
    /// Whether this entry calls the peer in the current interval.
    bool should_call(peer_state const& peer, time_point now) const;
    bool in_own_data_centre(peer_state const& peer) const;
    bool in_other_data_centre(peer_state const& peer) const;
    /// When the peer counts as dead unless another heartbeat arrives.
    time_point dead_at(peer_state const& peer) const;
    /// Position of this entry among the live entries of its data centre, by
    /// address. Sets `members` to their number.
    std::size_t own_rank(time_point now, std::size_t& members) const;
    /// Adds the receivers in other data centres that this entry calls.
    void add_receivers(std::vector<std::string>& targets, std::int64_t round,
                       time_point now) const;
    std::map<std::string, peer_list, std::less<>> other_data_centres() const;
    /// The peers without a failed call within `dead_after`; all of them if
    /// there is none.
    peer_list without_recent_failure(peer_list const& peers,
                                     time_point now) const;

    process_id self_;
    std::string data_centre_;
    peer_table_settings settings_;
    std::map<std::string, peer_state, std::less<>> peers_;
};

} // namespace masticshift::membership

#endif
