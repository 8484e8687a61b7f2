#ifndef MASTICSHIFT_DISPATCH_PEER_ROSTER_HPP
#define MASTICSHIFT_DISPATCH_PEER_ROSTER_HPP

#include <core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// One incarnation of an entry.
struct entry_identity
{
    /// Address for connections from peers, `IP:PORT`.
    std::string address;
    /// Increases with each start of the process.
    std::int64_t incarnation = 0;
    std::string data_centre;
    /// Thousandths of a core that it may use.
    int processor = 0;

    friend bool operator==(entry_identity const&,
                           entry_identity const&) = default;
};

/// An entry's statement that it dispatches a cell.
struct dispatch_claim
{
    std::string cell;
    std::int64_t token = 0;
    /// Number of endpoints on which it can place tasks.
    std::int64_t endpoints = 0;
    /// Thousandths of a core that are free on these endpoints.
    std::int64_t free_processor = 0;
    /// How long all its endpoints together need for the waiting tasks.
    milliseconds backlog{0};
    /// It takes no new jobs and hands its endpoints over.
    bool retiring = false;
};

/// The claim of a cell's dispatcher, and its address.
struct cell_dispatcher
{
    std::string address;
    dispatch_claim claim;
};

/// The message that entries exchange several times a second.
struct entry_heartbeat
{
    entry_identity sender;
    bool leaving = false;
    std::vector<dispatch_claim> claims;
    std::int64_t configuration_version = 0;
    std::int64_t highest_token = 0;
    std::vector<entry_identity> known;
};

/// Tracks which entries are alive and which cells they dispatch, and decides
/// which cells this entry should claim or retire from.
///
/// There is no consensus among entries. Two of them may dispatch one cell for a
/// while: endpoints reject the lower token, and one of the two retires as soon
/// as it receives the other's heartbeat.
class peer_roster
{
public:
    peer_roster(entry_identity self, time_point started);

    /// Adds an address at which an entry may be running.
    void add_candidate(std::string const& address);

    void record_heartbeat(entry_heartbeat const& heartbeat, time_point now);

    /// Records that nothing listens at this address: a peer there is dead.
    void record_connection_refused(std::string const& address);

    /// Records that a heartbeat to this address got no response.
    void record_unanswered(std::string const& address);

    /// Records that the list of entries was read from the store.
    void record_directory_read();

    bool is_alive(std::string const& address, time_point now) const;

    /// Incarnations that have ended since the last call: dead peers, and those
    /// replaced by a new incarnation.
    std::vector<entry_identity> take_ended_entries(time_point now);

    /// Addresses for the next heartbeat.
    std::vector<std::string> targets(time_point now);

    /// The dispatcher of each cell that takes new jobs, this entry or another.
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

    /// To be called when endpoints have rejected this entry's token in favour
    /// of an unknown one. Each call doubles the distance of the next token from
    /// the known ones.
    void record_unknown_token();

    /// Replaces the claims of this entry.
    void set_claims(std::vector<dispatch_claim> claims);
    void set_leaving();
    void set_configuration_version(std::int64_t version);

    entry_heartbeat own_heartbeat(time_point now) const;

    entry_identity const& self() const
    {
        return self_;
    }

    std::int64_t newest_configuration() const;

    /// An entry that has this version of the configuration or a later one.
    std::optional<std::string> peer_with_configuration(std::int64_t version,
                                                       time_point now) const;

    /// Another live entry that is not leaving, in turn with each call.
    std::optional<std::string> next_live_peer(time_point now);

    std::size_t alive_count(time_point now) const;

private:
    struct peer
    {
        entry_heartbeat heartbeat;
        time_point last_received{};
        /// Since when it has been alive without interruption.
        time_point alive_since{};
        bool ended = false;
    };

    bool is_alive(peer const& known, time_point now) const;
    bool discovery_done(time_point now) const;
    bool has_stable_entry(std::string const& data_centre, time_point now) const;
    template <class Function>
    void for_each_claim(time_point now, Function const& function) const;
    dispatch_claim const* own_claim(std::string const& cell) const;
    /// Since when the cell has had no dispatcher, or nothing if it has one.
    std::optional<time_point> orphaned_since(std::string const& cell,
                                             time_point now);
    bool may_claim_foreign(std::string const& cell, time_point orphaned,
                           time_point now) const;

    entry_identity self_;
    time_point started_;
    bool leaving_ = false;
    std::vector<dispatch_claim> claims_;
    std::int64_t configuration_version_ = 0;
    std::int64_t highest_token_ = 0;
    std::int64_t token_step_ = 1;
    std::map<std::string, peer> peers_;
    std::set<std::string> candidates_;
    std::vector<entry_identity> ended_;
    /// Addresses that have sent a heartbeat or have left one unanswered.
    std::set<std::string> tried_;
    bool directory_read_ = false;
    /// Since when a cell has had no dispatcher.
    std::map<std::string, time_point> orphaned_since_;
    /// Since when all probes of a cell have succeeded.
    std::map<std::string, time_point> reachable_since_;
    std::size_t rotation_ = 0;
};

} // namespace masticshift::dispatch

#endif
