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

/// Cells that did not take a job.
struct tried_cells
{
    /// Could not start it at once.
    std::set<std::string> busy;
    /// Refused it, as it would end too late there.
    std::set<std::string> overloaded;
};

/// Chooses the cell for a job: the own data centre's first, then those that
/// have told of the most room, each only if it can start the job at once; in
/// the end the one with the least work waiting, where the job waits too.
/// Nothing when nobody dispatches, or when enough cells have refused the job.
std::optional<chosen_cell>
choose_cell(std::vector<cell_dispatcher> const& cells,
            std::string const& data_centre, job_spec const& job,
            tried_cells const& tried);

} // namespace masticshift::dispatch

#endif
