#ifndef MASTICSHIFT_DISPATCH_PEER_ROSTER_HPP
#define MASTICSHIFT_DISPATCH_PEER_ROSTER_HPP

#include <core/time.hpp>
#include <dispatch/claim_relay.hpp>
#include <dispatch/origin_watch.hpp>
#include <dispatch/peer_liveness.hpp>
#include <dispatch/peer_types.hpp>
#include <dispatch/withdrawal_list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// Tracks which entries are alive and which cells they dispatch, and decides
/// which cells this entry should claim or retire from.
///
/// There is no consensus among entries. Two of them may dispatch one cell for a
/// while: endpoints reject the lower token, and one of the two retires as soon
/// as it receives the other's heartbeat.
///
/// An entry exchanges heartbeats with those that it depends on: the dispatchers
/// of its data centre and those that hold its jobs, and the entries that may
/// have to claim a cell before it. It learns of the other dispatchers from the
/// claims that the dispatchers of its data centre pass on. The number of its
/// heartbeats grows with the number of cells, not with that of entries.
class peer_roster
{
public:
    peer_roster(entry_identity self, time_point started);

    /// Adds an address at which an entry may be running. `data_centre` is empty
    /// if it is not known.
    void add_candidate(std::string const& address,
                       std::string const& data_centre = {});

    void record_heartbeat(entry_heartbeat const& heartbeat, time_point now);

    /// Records a job that a peer has sent, not before `sent_after`. Returns
    /// false if that incarnation of the peer has ended, so that nobody waits
    /// for the job.
    bool record_job_from(entry_identity const& origin, time_point sent_after,
                         time_point now);

    /// Records a reading of the clock of the entry at this address, which the
    /// entry has sent.
    void record_clock(std::string const& address, clock_reading const& reading);

    /// The newest reading of that entry's clock. Incarnation 0: none.
    clock_reading last_reading(std::string const& address) const;

    /// Records that nothing listens at this address: a peer there is dead.
    void record_connection_refused(std::string const& address);

    /// Records that a heartbeat to this address got no response.
    void record_unanswered(std::string const& address);

    /// Records that the list of entries was read from the store.
    void record_directory_read();

    /// Records that a job of this entry was sent to a dispatcher, which must be
    /// able to notice within half a second when this entry dies.
    void begin_job_at(std::string const& address);

    /// Records the end of a job that `begin_job_at` has recorded.
    void end_job_at(std::string const& address, time_point now);

    bool is_alive(std::string const& address, time_point now) const;

    /// Whether this incarnation has sent anything lately.
    bool is_alive(entry_identity const& entry, time_point now) const;

    /// Incarnations that have ended since the last call: dead peers, and those
    /// replaced by a new incarnation.
    std::vector<entry_identity> take_ended_entries(time_point now);

    /// Addresses for the next heartbeat.
    std::vector<std::string> targets(time_point now);

    /// The dispatcher of each cell that takes new jobs, this entry or another,
    /// with the age of its claim.
    std::vector<cell_dispatcher> dispatchers(time_point now) const;

    /// The address of the dispatcher that takes new jobs of a cell.
    std::optional<std::string> dispatcher_of(std::string const& cell,
                                             time_point now) const;

    /// Whether another entry dispatches the cell and hands it over.
    bool is_retiring(std::string const& cell, time_point now) const;

    /// Whether another entry dispatches the cell, retiring or not.
    bool has_other_dispatcher(std::string const& cell, time_point now) const;

    /// Whether this entry should start to dispatch the cell. Entries of the
    /// cell's data centre come first, then those without a cell, then those
    /// with more processor. A cell of another data centre is claimed only after
    /// a delay, as its own entries may be about to start, or may only be
    /// unreachable from here.
    bool should_claim(std::string const& cell, std::string const& data_centre,
                      time_point now);

    /// Whether to test if the endpoints of this cell are reachable: it belongs
    /// to another data centre and no dispatcher of it is known.
    bool should_probe(std::string const& cell, std::string const& data_centre,
                      time_point now);

    /// Records the outcome of a probe.
    void record_probe(std::string const& cell, bool reachable, time_point now);

    /// Whether this entry should hand the cell over to another one.
    bool should_retire(std::string const& cell, std::string const& data_centre,
                       time_point now) const;

    /// A token higher than all known ones. `unix_seconds` makes the first token
    /// of a process higher than those of its earlier incarnations.
    std::int64_t next_token(std::int64_t unix_seconds) const;

    /// This entry's token with that claim number.
    std::int64_t token_of_claim(std::int64_t claim_number) const;

    /// Records a token that this entry uses, so that `next_token` is higher.
    void record_token(std::int64_t token);

    /// Whether the entry is alive and still wants a job that it has sent to
    /// this one after `sent_after`.
    bool wants_job(entry_identity const& entry, time_point sent_after,
                   time_point now) const;

    /// What other entries say of the jobs that they have sent to this one.
    origin_watch const& origins() const
    {
        return origins_;
    }

    /// Jobs that this entry has withdrawn from dispatchers. Heartbeats carry
    /// them.
    withdrawal_list& withdrawals()
    {
        return withdrawals_;
    }

    withdrawal_list const& withdrawals() const
    {
        return withdrawals_;
    }

    /// Whether this process was paused lately: other entries may have acted
    /// meanwhile without this one having received it.
    bool was_paused(time_point now) const;

    /// Replaces the claims of this entry.
    void set_claims(std::vector<dispatch_claim> claims);
    void set_leaving();
    void set_configuration_version(std::int64_t version);

    /// Version of the store at which this entry has read the evacuated data
    /// centres.
    void set_evacuations_version(std::int64_t version);

    /// The next heartbeat to this address.
    entry_heartbeat heartbeat_to(std::string const& address,
                                 time_point now) const;

    /// The response to a heartbeat that was just recorded.
    entry_heartbeat response_to(entry_heartbeat const& heartbeat,
                                time_point now) const;

    entry_identity const& self() const
    {
        return self_;
    }

    std::int64_t newest_configuration() const;

    /// The live entry that has read the evacuated data centres at the highest
    /// version of the store; nothing if none is newer than this entry.
    std::optional<std::string> peer_with_evacuations(time_point now) const;

    /// An entry that has this version of the configuration or a later one.
    std::optional<std::string> peer_with_configuration(std::int64_t version,
                                                       time_point now) const;

    /// Another live entry that is not leaving, in turn with each call.
    std::optional<std::string> next_live_peer(time_point now);

    /// Number of entries that heartbeats were received from lately.
    std::size_t alive_count(time_point now) const;

private:
    using peer = peer_liveness::peer;

    /// A job of this entry is open at a dispatcher, or was until lately.
    struct dependency
    {
        std::size_t open_jobs = 0;
        time_point last_used{};
    };

    /// A cell that this entry has been asked about.
    struct cell_state
    {
        std::string data_centre;
        /// Time of the last question about it.
        time_point asked{};
        /// Since when it has had no dispatcher.
        std::optional<time_point> orphaned_since;
        /// Since when all probes of it have succeeded.
        std::optional<time_point> reachable_since;
    };

    bool discovery_done(time_point now) const;
    std::set<std::string> const& discovery_targets() const;
    std::set<std::string> choose_discovery_targets() const;
    std::set<std::string> periodic_targets(time_point now);
    void add_dispatchers(std::set<std::string>& chosen, time_point now) const;
    void add_dependencies(std::set<std::string>& chosen, time_point now);
    void add_successors(std::set<std::string>& chosen, time_point now);
    void add_overdue(std::set<std::string>& chosen, time_point now) const;
    void fill_targets(std::set<std::string>& chosen, time_point now) const;
    void choose_announced(time_point now);
    void add_of_orphaned_cells(std::vector<std::string>& chosen) const;
    void add_in_turn(std::vector<std::string>& chosen,
                     std::set<std::string> const& periodic,
                     time_point now) const;

    /// Live or possibly live entries of this data centre that claim the cell
    /// before other entries do, in this order. Without this entry.
    std::vector<peer const*> successors(std::string const& cell,
                                        time_point now) const;
    bool is_first_successor(std::string const& cell, time_point now) const;
    bool has_stable_entry(std::string const& data_centre, time_point now) const;

    /// Calls `function(holder, claim)` for the claims of other entries, of
    /// which heartbeats were received lately or passed on.
    template <class Function>
    void for_each_claim(time_point now, Function const& function) const;
    /// The same with the time at which the claim was received, or was sent if
    /// another entry has passed it on: `function(holder, claim, sent)`.
    template <class Function>
    void for_each_dated_claim(time_point now, Function const& function) const;
    dispatch_claim const* own_claim(std::string const& cell) const;
    /// The state of a cell as of now.
    cell_state& update_cell(std::string const& cell,
                            std::string const& data_centre, time_point now);
    /// Whether a data centre may have an entry that is not leaving.
    bool has_other_candidate(std::string const& data_centre) const;
    bool has_orphaned_cell() const;
    bool has_orphaned_local_cell() const;
    bool may_claim_foreign(std::string const& cell, cell_state const& state,
                           time_point now) const;
    /// How many data centres come before this one in claiming a cell of another
    /// data centre.
    std::size_t data_centres_before(std::string const& cell,
                                    std::string const& data_centre,
                                    time_point now) const;
    void record_origin(entry_heartbeat const& heartbeat, time_point now);
    entry_heartbeat own_heartbeat(time_point now) const;
    std::vector<relayed_claim> claims_to_relay(std::string const& receiver,
                                               time_point now) const;

    entry_identity self_;
    time_point started_;
    bool leaving_ = false;
    std::vector<dispatch_claim> claims_;
    std::int64_t configuration_version_ = 0;
    std::int64_t evacuations_version_ = 0;
    std::int64_t highest_token_ = 0;
    peer_liveness liveness_;
    origin_watch origins_;
    withdrawal_list withdrawals_;
    claim_relay relay_;
    /// By address: the data centre, or an empty string.
    std::map<std::string, std::string> candidates_;
    /// Receivers of the heartbeats of discovery. Empty after a candidate was
    /// added, until it is needed.
    mutable std::optional<std::set<std::string>> discovery_targets_;
    /// Receivers of a heartbeat in every interval.
    std::set<std::string> periodic_;
    /// By address.
    std::map<std::string, clock_reading> readings_;
    /// By address of the dispatcher.
    std::map<std::string, dependency> dependencies_;
    std::map<std::string, cell_state> cells_;
    /// Addresses that have sent a heartbeat or have left one unanswered.
    std::set<std::string> tried_;
    bool directory_read_ = false;
    std::size_t rotation_ = 0;
    /// The peer that the next heartbeats tell others of.
    std::string announced_;
};

template <class Function>
void peer_roster::for_each_claim(time_point now, Function const& function) const
{
    for_each_dated_claim(now,
                         [&](entry_identity const& holder,
                             dispatch_claim const& claim, time_point)
                         {
                             function(holder, claim);
                         });
}

template <class Function>
void peer_roster::for_each_dated_claim(time_point now,
                                       Function const& function) const
{
    for (auto const& address : liveness_.claimants())
    {
        auto const& known = *liveness_.find(address);
        if (!liveness_.is_alive(known, now))
            continue;
        for (auto const& claim : known.heartbeat.claims)
            function(known.heartbeat.sender, claim, known.claimed);
    }
    relay_.for_each(liveness_, now,
                    [&](entry_identity const& holder,
                        dispatch_claim const& claim, time_point sent)
                    {
                        if (holder.address != self_.address)
                            function(holder, claim, sent);
                    });
}

} // namespace masticshift::dispatch

#endif
