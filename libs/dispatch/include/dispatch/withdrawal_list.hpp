#ifndef MASTICSHIFT_DISPATCH_WITHDRAWAL_LIST_HPP
#define MASTICSHIFT_DISPATCH_WITHDRAWAL_LIST_HPP

#include <core/time.hpp>
#include <dispatch/peer_types.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// Withdrawals of this entry's jobs that their dispatchers have not
/// acknowledged. Each heartbeat to a dispatcher carries them, so that none that
/// arrives says that a withdrawn job is wanted.
class withdrawal_list
{
public:
    /// A heartbeat carries no more than this.
    static constexpr std::size_t most_in_heartbeat = 500;

    struct entry
    {
        job_withdrawal withdrawal;
        time_point begun;
    };

    /// A withdrawal of which the dispatcher's end is unknown.
    struct unacknowledged
    {
        std::string dispatcher;
        job_withdrawal withdrawal;
    };

    void add(std::string const& dispatcher, job_withdrawal withdrawal,
             time_point now);

    /// Removes those that the dispatcher has acknowledged. Returns for how long
    /// the oldest of them was open; 0 if none was.
    duration acknowledge(std::string const& dispatcher,
                         std::vector<job_withdrawal> const& received,
                         time_point now);

    /// The oldest ones, up to `most_in_heartbeat`.
    std::vector<job_withdrawal> open(std::string const& dispatcher) const;

    bool contains(std::string const& dispatcher,
                  job_withdrawal const& withdrawal) const;

    /// Whether `open` returns all of them.
    bool fits_heartbeat(std::string const& dispatcher) const;

    /// Addresses of the dispatchers with open withdrawals.
    std::vector<std::string> dispatchers() const;

    /// Removes and returns those that are so old that their runs have ended.
    std::vector<unacknowledged> take_expired(time_point now);

private:
    /// By address of the dispatcher, in the order of their beginning.
    std::map<std::string, std::vector<entry>> open_;
};

} // namespace masticshift::dispatch

#endif
