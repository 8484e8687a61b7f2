#include <dispatch/cell_choice.hpp>

#include <algorithm>
#include <tuple>

namespace masticshift::dispatch
{

namespace
{

/// Cells that are asked before the job waits in one. Each costs a round trip,
/// a millisecond or two.
constexpr std::size_t most_tries = 2;

/// A job that a cell has refused is offered to this many further ones.
constexpr std::size_t most_refusals = 1;

/// A job waits in another data centre's cell only if it gains more than the age
/// of what is known of the cells' loads, an interval of the signs of life, is
/// likely to be off by.
constexpr milliseconds foreign_cost{10};

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

/// The cell with the most room, the own data centre's first where
/// `prefer_local`.
cell_dispatcher const*
roomiest(std::vector<cell_dispatcher const*> const& cells,
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

/// The cell where a job would wait least.
cell_dispatcher const*
least_loaded(std::vector<cell_dispatcher const*> const& cells,
             std::string const& data_centre)
{
    auto const cost = [&](cell_dispatcher const* each)
    {
        bool const local = is_local(*each, data_centre);
        return std::tuple(each->claim.backlog +
                              (local ? milliseconds(0) : foreign_cost),
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
    if (tried.overloaded.size() > most_refusals)
        return std::nullopt;
    auto const needed = needed_processor(job);
    std::vector<cell_dispatcher const*> open;
    std::vector<cell_dispatcher const*> roomy;
    for (auto const& each : cells)
    {
        if (tried.overloaded.contains(each.claim.cell))
            continue;
        open.push_back(&each);
        bool const untried = !tried.busy.contains(each.claim.cell);
        bool const first = tried.busy.empty() && is_local(each, data_centre);
        if (untried && (first || each.claim.free_processor >= needed))
            roomy.push_back(&each);
    }
    if (open.empty())
        return std::nullopt;
    if (cells.size() > 1 && tried.overloaded.empty() &&
        tried.busy.size() < most_tries && !roomy.empty())
    {
        auto const* const best =
            roomiest(roomy, data_centre, tried.busy.empty());
        return chosen_cell{best->address, best->claim.cell, true};
    }
    auto const* const last = least_loaded(open, data_centre);
    return chosen_cell{last->address, last->claim.cell, false};
}

} // namespace masticshift::dispatch
