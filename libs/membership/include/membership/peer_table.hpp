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

/// What is known of one peer. Empty or zero where nothing was heard yet.
struct peer_state
{
    std::string address;
    /// From its heartbeats, before that from the VM list.
    std::string data_centre;
    std::int64_t incarnation = 0;
    int generation = 0;
    std::uint64_t revision = 0;
    bool draining = false;
    /// Whether the VM list shows it as leaving.
    bool leaving = false;
    std::vector<service_load> loads;
    std::int64_t sequence = 0;
    /// Last heartbeat from it, as a call or as an answer.
    time_point last_heard = time_point::min();
    /// Last call to it that failed. Cleared when it is heard of.
    time_point last_failed = time_point::min();

    bool configured = false;
    bool listed = false;
    /// Earlier incarnations, whose late heartbeats are ignored.
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
    /// A peer of the own data centre that was not heard of for this long
    /// counts as dead.
    milliseconds dead_after{2'500};
    /// A dead peer that neither settings nor VM list name is forgotten then.
    milliseconds forget_after{60'000};
    std::size_t max_peers = 1'024;
};

/// What a heartbeat told about its sender.
enum class heartbeat_result
{
    /// A peer that was live.
    known,
    /// Not known before, or never heard of.
    joined,
    /// Another incarnation than before.
    restarted,
    /// The same incarnation after it had counted as dead.
    returned,
    /// Late or repeated; nothing was changed.
    stale,
    /// From this process itself, or the table is full.
    refused
};

std::string_view name_of(heartbeat_result result);

/// What this entry can reach.
struct isolation_view
{
    std::size_t known = 0;
    std::size_t live = 0;
    /// Other peers are known and none of them is live.
    bool alone = false;
    /// Other data centres without a live entry.
    std::vector<std::string> cut_data_centres;
};

/// The peers of one entry and when each was last heard of.
class peer_table
{
public:
    peer_table(process_id self, std::string data_centre,
               peer_table_settings settings);

    /// Peers from the settings. The own address is left out.
    void set_configured(std::vector<std::string> const& addresses);

    /// Entries of the newest VM list, which replaces the one before.
    void set_listed(std::vector<listed_entry> const& entries);

    heartbeat_result receive(heartbeat const& beat, time_point now);

    /// A call to a peer failed.
    void failed(std::string const& address, time_point now);

    /// Forgets dead peers that nothing names any more. Returns their
    /// addresses.
    std::vector<std::string> expire(time_point now);

    bool known(std::string const& address) const;
    peer_state const* find(std::string const& address) const;
    std::map<std::string, peer_state, std::less<>> const& all() const;

    /// A peer of the own data centre is live while it was heard of within
    /// `dead_after`. Peers of other data centres are heard of more rarely, and
    /// are live for `dead_after` and `rotation` intervals more, unless a call
    /// to them has failed since.
    bool is_live(peer_state const& peer, time_point now) const;

    /// Live peers without this entry, ordered by address.
    std::vector<peer_state const*> live(time_point now) const;
    std::vector<peer_state const*> live_in(std::string_view data_centre,
                                           time_point now) const;

    /// Addresses that get a heartbeat as a call in this interval, which is the
    /// `round`-th.
    ///
    /// Within the own data centre each pair exchanges one heartbeat and its
    /// answer in an interval: a hash of both addresses names the caller. The
    /// other one calls too when it has not heard of the caller for
    /// `late_after` intervals. So do those whose data centre is not known yet
    /// and, with at most `direct_peers` others, these.
    ///
    /// Else two entries of each data centre send to one entry of each other
    /// data centre; who does is worked out from the live entries alike
    /// everywhere, and the receivers rotate.
    ///
    /// News thus passes from any entry to all in `gossip_rounds` intervals,
    /// also while half of the entries is dead and not yet found so, as long as
    /// each data centre has a live entry that can be reached. At 56 entries in
    /// 7 data centres an entry sends at most 11 heartbeats and answers in an
    /// interval, on average.
    std::vector<std::string> heartbeat_targets(std::int64_t round,
                                               time_point now) const;

    isolation_view isolation(time_point now) const;

    process_id const& self() const;
    std::string const& data_centre() const;

    /// Peers of other data centres that are sent to directly, at most.
    static constexpr std::size_t direct_peers = 8;
    static constexpr int gossip_rounds = 6;
    static constexpr int late_after = 2;
    /// Intervals until the rotation has reached each entry of a data centre.
    static constexpr int rotation = 16;

private:
    using peer_list = std::vector<peer_state const*>;

    peer_state* add(std::string const& address);
    bool calls(peer_state const& peer, time_point now) const;
    bool is_own(peer_state const& peer) const;
    bool is_elsewhere(peer_state const& peer) const;
    time_point dead_at(peer_state const& peer) const;
    std::size_t own_rank(time_point now, std::size_t& members) const;
    void add_receivers(std::vector<std::string>& targets, std::int64_t round,
                       time_point now) const;
    std::map<std::string, peer_list, std::less<>> other_data_centres() const;
    peer_list promising(peer_list const& peers, time_point now) const;

    process_id self_;
    std::string data_centre_;
    peer_table_settings settings_;
    std::map<std::string, peer_state, std::less<>> peers_;
};

} // namespace masticshift::membership

#endif
