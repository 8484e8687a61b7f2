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

/// The cell with the most room for its size; the own data centre's first where
/// `prefer_local`.
cell_dispatcher const* best_of(std::vector<cell_dispatcher const*> const& cells,
                               std::string const& data_centre,
                               bool prefer_local)
{
    auto const rank = [&](cell_dispatcher const* each)
    {
        return std::tuple(prefer_local && is_local(*each, data_centre),
                          each->claim.free_processor);
    };
    auto const best = std::ranges::max_element(cells, {}, rank);
    return best == cells.end() ? nullptr : *best;
}

} // namespace

std::optional<chosen_cell>
choose_cell(std::vector<cell_dispatcher> const& cells,
            std::string const& data_centre, job_spec const& job,
            std::set<std::string> const& busy)
{
    auto const needed = needed_processor(job);
    std::vector<cell_dispatcher const*> all;
    std::vector<cell_dispatcher const*> roomy;
    for (auto const& each : cells)
    {
        all.push_back(&each);
        bool const untried = !busy.contains(each.claim.cell);
        bool const first = busy.empty() && is_local(each, data_centre);
        if (untried && (first || each.claim.free_processor >= needed))
            roomy.push_back(&each);
    }
    if (all.empty())
        return std::nullopt;
    if (all.size() > 1 && busy.size() < most_tries && !roomy.empty())
    {
        auto const* const best = best_of(roomy, data_centre, busy.empty());
        return chosen_cell{best->address, best->claim.cell, true};
    }
    auto const* const last = best_of(all, data_centre, true);
    return chosen_cell{last->address, last->claim.cell, false};
}

} // namespace masticshift::dispatch
