#ifndef MASTICSHIFT_DISPATCH_CELL_CHOICE_HPP
#define MASTICSHIFT_DISPATCH_CELL_CHOICE_HPP

#include <dispatch/job.hpp>
#include <dispatch/peer_roster.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// Where to send a job.
struct chosen_cell
{
    std::string address;
    std::string cell;
    /// Another cell is to be tried if this one can't start the job at once.
    bool only_if_idle = false;
};

/// Chooses the cell for a job: the own data centre's first, then those that
/// have told of the most room, each only if it can start the job at once; in
/// the end the own one, where the job waits. `busy` are the cells that could
/// not start it. Nothing when nobody dispatches.
std::optional<chosen_cell>
choose_cell(std::vector<cell_dispatcher> const& cells,
            std::string const& data_centre, job_spec const& job,
            std::set<std::string> const& busy);

} // namespace masticshift::dispatch

#endif
