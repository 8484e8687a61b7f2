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

/// One life of an entry.
struct entry_identity
{
    /// What peers connect to, `IP:PORT`.
    std::string address;
    /// Grows with each start of the process.
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
    /// Endpoints that it can place tasks on.
    std::int64_t endpoints = 0;
    /// Thousandths of a core that are free on endpoints it can place on.
    std::int64_t free_processor = 0;
    /// How long all its endpoints together need for the tasks that wait.
    milliseconds backlog{0};
    /// Takes no new jobs and hands its endpoints over.
    bool retiring = false;
};

/// A cell and the entry that takes its jobs.
struct cell_dispatcher
{
    std::string address;
    dispatch_claim claim;
};

/// What entries tell each other several times a second.
struct entry_heartbeat
{
    entry_identity sender;
    bool leaving = false;
    std::vector<dispatch_claim> claims;
    std::int64_t configuration_version = 0;
    std::int64_t highest_token = 0;
    std::vector<entry_identity> known;
};

/// Who is alive, who dispatches, and who should.
///
/// Nothing here is agreed upon. Two entries may both dispatch for a while: the
/// endpoints obey the higher token, and one of the two gives way as soon as
/// they hear of each other.
class peer_roster
{
public:
    peer_roster(entry_identity self, time_point started);

    /// An address at which an entry may be.
    void add_candidate(std::string const& address);

    void record_heartbeat(entry_heartbeat const& sign, time_point now);

    /// Nobody listens at this address.
    void refused(std::string const& address);

    /// A sign of life to this address has got no answer.
    void note_unanswered(std::string const& address);

    /// The list of entries in the store has been read.
    void note_directory_read();

    bool is_alive(std::string const& address, time_point now) const;

    /// Lives that are over since the last call.
    std::vector<entry_identity> take_ended_entries(time_point now);

    /// Addresses to send the next sign of life to.
    std::vector<std::string> targets(time_point now);

    /// For each cell the entry that takes its new jobs, this one or another.
    std::vector<cell_dispatcher> dispatchers(time_point now) const;

    /// The address of the entry that takes new jobs of a cell.
    std::optional<std::string> dispatcher_of(std::string const& cell,
                                             time_point now) const;

    /// An entry that still dispatches a cell and hands its endpoints over.
    bool is_retiring(std::string const& cell, time_point now) const;

    /// Whether another entry dispatches the cell, retiring or not.
    bool has_other_dispatcher(std::string const& cell, time_point now) const;

    /// Whether this entry should dispatch the cell. Its data centre's entries
    /// come first, then those without a cell, then the larger ones. Cells of
    /// another data centre are left alone for a while, as its own entries may
    /// be about to start, or may only have been cut off from this one.
    bool should_claim(std::string const& cell, std::string const& data_centre,
                      time_point now);

    /// Whether to find out if the endpoints of this cell can be reached, as the
    /// cell is another data centre's and seems to have no dispatcher.
    bool should_probe(std::string const& cell, std::string const& data_centre,
                      time_point now);

    /// The outcome of a probe.
    void note_probe(std::string const& cell, bool reachable, time_point now);

    /// Whether another entry should dispatch the cell in place of this one.
    bool should_retire(std::string const& cell, std::string const& data_centre,
                       time_point now) const;

    /// A token higher than all that are known. `unix_seconds` keeps a process
    /// that has just started above its former life.
    std::int64_t next_token(std::int64_t unix_seconds) const;

    /// Endpoints have seen a token that is not known here.
    void note_unknown_token();

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

    /// Some other entry that is alive. Another one with each call.
    std::optional<std::string> next_live_peer(time_point now);

    std::size_t alive_count(time_point now) const;

private:
    struct peer
    {
        entry_heartbeat sign;
        time_point heard{};
        /// Since when it has been heard without a break.
        time_point alive_since{};
        bool ended = false;
    };

    bool is_alive(peer const& known, time_point now) const;
    bool has_listened(time_point now) const;
    bool has_stable_entry(std::string const& data_centre, time_point now) const;
    template <class Function>
    void for_each_claim(time_point now, Function const& function) const;
    dispatch_claim const* own_claim(std::string const& cell) const;
    /// Since when the cell has had no dispatcher. Nothing: it has one.
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
    /// Candidates that were heard or did not answer.
    std::set<std::string> tried_;
    bool directory_read_ = false;
    /// Since when a cell has had no dispatcher.
    std::map<std::string, time_point> orphaned_since_;
    /// Since when each probe of a cell has been answered.
    std::map<std::string, time_point> reachable_since_;
    std::size_t turn_ = 0;
};

} // namespace masticshift::dispatch

#endif
