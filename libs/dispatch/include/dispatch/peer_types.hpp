#ifndef MASTICSHIFT_DISPATCH_PEER_TYPES_HPP
#define MASTICSHIFT_DISPATCH_PEER_TYPES_HPP

#include <core/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
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

/// The steady clock of an entry, as read by itself. Entries compare only
/// readings of their own clocks.
struct clock_reading
{
    std::int64_t incarnation = 0;
    milliseconds time{0};
};

/// The whole milliseconds of a time, as in the readings of this entry's clock.
constexpr milliseconds reading_at(time_point now)
{
    return std::chrono::floor<milliseconds>(now.time_since_epoch());
}

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
    /// Expected wait of a new job by the priority of its queue, from priority 0
    /// on; the last one holds for all further priorities. Empty if unknown.
    std::vector<milliseconds> waits;
    /// The largest number of thousandths of a core free on one endpoint.
    std::int64_t largest_free_processor = 0;
    /// The cell's data centre is evacuated: nothing is started there.
    bool evacuated = false;
};

/// The claim of a cell's dispatcher, and its address.
struct cell_dispatcher
{
    std::string address;
    dispatch_claim claim;
    /// Time since the dispatcher made the claim, as far as it is known here.
    milliseconds age{0};
    /// Another entry claims the cell too, and isn't handing it over.
    bool contested = false;
};

/// The claim of an entry, passed on by another one.
struct relayed_claim
{
    entry_identity holder;
    dispatch_claim claim;
    /// Time since the holder sent it.
    milliseconds age{0};
};

/// A job that an entry has withdrawn from a dispatcher.
struct job_withdrawal
{
    std::string job;
    std::string cell;
    /// The last submission of the job that is withdrawn.
    std::int64_t submission = 0;

    friend bool operator==(job_withdrawal const&,
                           job_withdrawal const&) = default;
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
    /// The sender sends the next heartbeat to the same receiver after one
    /// interval, so that the receiver may take silence for a failure.
    bool is_periodic = false;
    /// The response should contain the claims of other entries.
    bool wants_claims = false;
    std::vector<relayed_claim> relayed;
    /// The sender's steady clock when it made the heartbeat.
    milliseconds clock{0};
    /// The receiver's newest clock reading that the sender has. The sender's
    /// jobs were wanted at that time, but for `withdrawals`. Incarnation 0: the
    /// heartbeat says nothing about jobs. Empty: an entry of an earlier build.
    std::optional<clock_reading> last_reading;
    /// Withdrawals that the receiver has not acknowledged.
    std::vector<job_withdrawal> withdrawals;
    /// Version of the store at which the sender's list of evacuated data
    /// centres was read last. 0: it has read none.
    std::int64_t evacuations_version = 0;
};

} // namespace masticshift::dispatch

#endif
