#include <dispatch/cell_choice.hpp>

#include <algorithm>
#include <tuple>

namespace masticshift::dispatch
{

namespace
{

/// Number of cells that are tried for an immediate start before the job waits
/// in one. Each try costs a round trip of a millisecond or two.
constexpr std::size_t max_idle_tries = 2;

/// A job that a cell has refused as overloaded is sent to this many further
/// ones.
constexpr std::size_t max_further_offers = 1;

/// A job waits in a cell of another data centre only if the backlog there is
/// smaller by more than this. The known backlogs are up to a heartbeat interval
/// old, and smaller differences are likely to be errors from that.
constexpr milliseconds remote_penalty{10};

std::int64_t needed_processor(job_spec const& job)
{
    std::int64_t needed = 0;
    for (auto const& step : job.steps)
    {
        if (step.after.empty())
            needed += step.need.processor * step.task_count;
    }
    return needed;
}

bool is_local(cell_dispatcher const& each, std::string const& data_centre)
{
    return each.claim.cell.starts_with(data_centre + "/");
}

/// The cell with the most free capacity, with `prefer_local` those of this
/// entry's data centre first.
cell_dispatcher const*
most_free(std::vector<cell_dispatcher const*> const& cells,
          std::string const& data_centre, bool prefer_local)
{
    auto const rank = [&](cell_dispatcher const* each)
    {
        return std::tuple(prefer_local && is_local(*each, data_centre),
                          each->claim.free_processor);
    };
    auto const best = std::ranges::max_element(cells, {}, rank);
    return best == cells.end() ? nullptr : *best;
}

/// The cell with the smallest backlog. `remote_penalty` is added to the
/// backlogs of other data centres.
cell_dispatcher const*
least_loaded(std::vector<cell_dispatcher const*> const& cells,
             std::string const& data_centre)
{
    auto const cost = [&](cell_dispatcher const* each)
    {
        bool const local = is_local(*each, data_centre);
        return std::tuple(each->claim.backlog +
                              (local ? milliseconds(0) : remote_penalty),
                          !local);
    };
    auto const best = std::ranges::min_element(cells, {}, cost);
    return best == cells.end() ? nullptr : *best;
}

} // namespace

std::optional<chosen_cell>
choose_cell(std::vector<cell_dispatcher> const& cells,
            std::string const& data_centre, job_spec const& job,
            tried_cells const& tried)
{
    if (tried.overloaded.size() > max_further_offers)
        return std::nullopt;
    auto const needed = needed_processor(job);
    std::vector<cell_dispatcher const*> open;
    std::vector<cell_dispatcher const*> idle;
    for (auto const& each : cells)
    {
        if (each.claim.evacuated ||
            tried.overloaded.contains(each.claim.cell) ||
            tried.evacuated.contains(each.claim.cell))
            continue;
        open.push_back(&each);
        bool const untried = !tried.busy.contains(each.claim.cell);
        bool const first = tried.busy.empty() && is_local(each, data_centre);
        if (untried && (first || each.claim.free_processor >= needed))
            idle.push_back(&each);
    }
    if (open.empty())
        return std::nullopt;
    if (cells.size() > 1 && tried.overloaded.empty() &&
        tried.busy.size() < max_idle_tries && !idle.empty())
    {
        auto const* const best =
            most_free(idle, data_centre, tried.busy.empty());
        return chosen_cell{best->address, best->claim.cell, true};
    }
    auto const* const last = least_loaded(open, data_centre);
    return chosen_cell{last->address, last->claim.cell, false};
}

} // namespace masticshift::dispatch
