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

/// How a cell was chosen.
enum class choice_kind
{
    /// A cell of the own data centre, if it can start the job at once.
    local_start,
    /// A cell elsewhere, if it can start the job at once.
    remote_start,
    /// The job may wait in a cell of the own data centre.
    local_wait,
    /// The job may wait in a cell elsewhere.
    remote_wait
};

char const* name_of(choice_kind kind);

/// Where to send a job.
struct chosen_cell
{
    std::string address;
    std::string cell;
    /// The cell refuses the job if it can't start it at once, so that another
    /// cell can be tried.
    bool only_if_idle = false;
    choice_kind kind = choice_kind::local_wait;
    /// Expected wait there, by the claim.
    milliseconds wait{0};
    /// Age of the claim.
    milliseconds claim_age{0};
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

/// Chooses the cell for a job. Cells of the entry's own data centre come first
/// unless others are known to be faster, then cells that report enough free
/// capacity; each takes the job only if it can start it at once. After a few of
/// these the job goes to a cell with a short wait and waits there.
///
/// Among cells that are about equally good the job's id decides, so that
/// entries with the same claims do not all choose the same cell. Returns
/// nothing if no cell has a dispatcher, if all of them are evacuated, or if too
/// many cells have refused the job as overloaded.
std::optional<chosen_cell>
choose_cell(std::vector<cell_dispatcher> const& cells,
            std::string const& data_centre, job_spec const& job,
            tried_cells const& tried);

/// The refusal of a job that no cell can serve in time, with the time until the
/// shortest wait allows it. Returns nothing unless the claims of all cells are
/// recent, uncontested and carry expected waits.
std::optional<job_result>
refuse_by_claims(std::vector<cell_dispatcher> const& cells,
                 job_spec const& job);

} // namespace masticshift::dispatch

#endif
