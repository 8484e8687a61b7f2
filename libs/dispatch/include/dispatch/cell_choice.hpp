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
    /// The cell refuses the job if it can't start it at once, so that another
    /// cell can be tried.
    bool only_if_idle = false;
};

/// Cells that have refused a job.
struct tried_cells
{
    /// Could not start it at once (`busy_cell`).
    std::set<std::string> busy;
    /// Refused it because it would end too late there (`overloaded`).
    std::set<std::string> overloaded;
    /// Refused it because their data centre is evacuated. The claims that say
    /// so arrive later.
    std::set<std::string> evacuated;
};

/// Chooses the cell for a job. Cells of the entry's own data centre come first,
/// then the cells that report the most free capacity; each takes the job only
/// if it can start it at once. After a few of these the job goes to the cell
/// with the smallest backlog and waits there. Returns nothing if no cell has a
/// dispatcher, if all of them are evacuated, or if too many cells have refused
/// the job as overloaded.
std::optional<chosen_cell>
choose_cell(std::vector<cell_dispatcher> const& cells,
            std::string const& data_centre, job_spec const& job,
            tried_cells const& tried);

} // namespace masticshift::dispatch

#endif
