#include <dispatch/cell_choice.hpp>

#include "stable_hash.hpp"

#include <algorithm>
#include <cmath>
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

/// A job waits in a cell of another data centre only if the wait there is
/// shorter by more than this. The known waits are up to a heartbeat interval
/// old, and smaller differences are likely to be errors from that.
constexpr milliseconds remote_penalty{10};

/// Other entries choose by the same claims until the next ones arrive, and all
/// jobs together bring about as much work as the cells do in that time.
constexpr milliseconds claim_interval{100};

/// Cells with at least this part of the most free capacity (a half) count as
/// about equally good. A cell with less is likely to be full before the next
/// claims arrive.
constexpr int even_free_divisor = 2;

/// Claims are sent each 100 ms and passed on once, so that one that is older
/// than this has missed a heartbeat.
constexpr milliseconds current_claim_age{250};

/// Run times may be longer than declared by half, which makes the time that a
/// job may wait longer too. A job is refused by claims only if it would be late
/// even so.
constexpr double longest_declared_factor = 1.5;

/// Bounds of `retry_after` in refusals.
constexpr milliseconds min_retry_after{200};
constexpr milliseconds max_retry_after{5'000};

/// What the choice needs of a job.
struct job_needs
{
    explicit job_needs(job_spec const& job)
        : priority(static_cast<std::size_t>(std::max(job.priority, 0)))
    {
        for (auto const& step : job.steps)
        {
            if (!step.after.empty())
                continue;
            processor += step.need.processor * step.task_count;
            largest_task =
                std::max<std::int64_t>(largest_task, step.need.processor);
        }
    }

    std::size_t priority;
    /// Thousandths of a core of all tasks that could start at once.
    std::int64_t processor = 0;
    std::int64_t largest_task = 0;
};

/// A cell as seen by one job.
struct cell_view
{
    cell_view(cell_dispatcher const& from, std::string const& data_centre,
              job_needs const& needs, bool refused = false)
        : cell(&from),
          local(from.claim.cell.starts_with(data_centre + "/")),
          current(!from.contested && from.age <= current_claim_age),
          knows_waits(current && !from.claim.waits.empty()),
          wait(from.claim.backlog)
    {
        auto const& claim = from.claim;
        auto const& waits = claim.waits;
        if (knows_waits)
            wait = waits[std::min(needs.priority, waits.size() - 1)];
        // 0: unknown, or nothing is free.
        bool const too_large =
            knows_waits && claim.largest_free_processor > 0 &&
            claim.largest_free_processor < needs.largest_task;
        has_room =
            !refused && !too_large && claim.free_processor >= needs.processor;
        if (has_room)
            wait = milliseconds(0);
    }

    cell_dispatcher const* cell;
    bool local;
    /// The claim is recent, and no other entry claims the cell.
    bool current;
    /// The claim is current and has the expected wait of the job's priority.
    bool knows_waits;
    milliseconds wait;
    /// All first tasks of the job can start at once, by the claim, and the cell
    /// has not refused to do so.
    bool has_room = false;
};

using cell_views = std::vector<cell_view>;

/// A number between 0 and 1 for a job and a cell, evenly distributed and the
/// same at every entry.
double fraction_of(std::string const& job, std::string const& cell)
{
    auto hash = stable_hash(job + ' ' + cell);
    // The last characters change only some of the bits of FNV-1a. These are
    // the last steps of MurmurHash3, which change all.
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    constexpr double parts = 9'007'199'254'740'992; // 2^53
    return (static_cast<double>(hash >> 11U) + 0.5) / parts;
}

/// One of the cells, by the job's id, with a probability proportional to its
/// weight (weighted rendezvous hashing).
template <class Weight>
cell_view const* spread(std::vector<cell_view const*> const& cells,
                        job_spec const& job, Weight const& weight_of)
{
    cell_view const* chosen = nullptr;
    double best = 0;
    for (auto const* each : cells)
    {
        // A weight of 0 gives infinity.
        auto const fraction = fraction_of(job.id, each->cell->claim.cell);
        auto const score = -std::log(fraction) / weight_of(*each);
        if (chosen == nullptr || score < best)
        {
            chosen = each;
            best = score;
        }
    }
    return chosen;
}

std::int64_t free_of(cell_view const* view)
{
    return view->cell->claim.free_processor;
}

/// One of the cells with the most free capacity.
cell_view const* choose_free(std::vector<cell_view const*> cells,
                             job_spec const& job)
{
    if (cells.empty())
        return nullptr;
    auto const* const freest = *std::ranges::max_element(cells, {}, free_of);
    bool const knows_waits = std::ranges::any_of(cells,
                                                 [](cell_view const* each)
                                                 {
                                                     return each->knows_waits;
                                                 });
    if (!knows_waits)
        return freest;
    auto const most = free_of(freest);
    std::erase_if(cells,
                  [&](cell_view const* each)
                  {
                      return free_of(each) < most / even_free_divisor;
                  });
    return spread(cells, job,
                  [](cell_view const& each)
                  {
                      return static_cast<double>(
                          std::max<std::int64_t>(free_of(&each), 1));
                  });
}

milliseconds remote_cost(cell_view const& view)
{
    return view.wait + (view.local ? milliseconds(0) : remote_penalty);
}

/// A dispatcher that has read none of its endpoints yet has no backlog, but
/// can't start anything either.
bool lacks_endpoints(cell_view const& view)
{
    return view.cell->claim.endpoints <= 0;
}

/// The cell with the shortest wait, of the own data centre if it is not longer
/// there.
cell_view const* shortest_wait(cell_views const& open)
{
    auto const cost = [](cell_view const& each)
    {
        return std::tuple(lacks_endpoints(each), remote_cost(each),
                          !each.local);
    };
    auto const best = std::ranges::min_element(open, {}, cost);
    return best == open.end() ? nullptr : &*best;
}

/// What part of the waiting jobs each cell should get so that the waits are
/// equal after `claim_interval`.
class even_shares
{
public:
    explicit even_shares(std::vector<cell_view const*> const& cells)
        : level_(level_of(cells))
    {
        for (auto const* each : cells)
        {
            capacity_ += capacity_of(*each);
            weight_ += weight_of(*each);
        }
    }

    /// Part of the jobs.
    double share_of(cell_view const& view) const
    {
        return weight_of(view) / weight_;
    }

    /// Part of the jobs, if the cells' waits were equal.
    double fair_share_of(cell_view const& view) const
    {
        return capacity_of(view) / capacity_;
    }

private:
    static double capacity_of(cell_view const& view)
    {
        return static_cast<double>(
            std::max<std::int64_t>(view.cell->claim.endpoints, 1));
    }

    static double wait_of(cell_view const& view)
    {
        return static_cast<double>(view.wait.count());
    }

    double weight_of(cell_view const& view) const
    {
        return capacity_of(view) * std::max(level_ - wait_of(view), 0.0);
    }

    /// The wait that the cells reach if the work of `claim_interval` goes to
    /// those with the shortest waits.
    static double level_of(std::vector<cell_view const*> cells)
    {
        std::ranges::sort(cells, {},
                          [](cell_view const* each)
                          {
                              return each->wait;
                          });
        double work = 0;
        for (auto const* each : cells)
            work += capacity_of(*each) *
                    static_cast<double>(claim_interval.count());
        double capacity = 0;
        double level = 0;
        for (auto const* each : cells)
        {
            if (capacity > 0 && wait_of(*each) >= level)
                break;
            work += capacity_of(*each) * wait_of(*each);
            capacity += capacity_of(*each);
            level = work / capacity;
        }
        return level;
    }

    double level_;
    double capacity_ = 0;
    double weight_ = 0;
};

/// The cell in which the job waits: the own data centre's for as many jobs as
/// it has a share for, and else one that has a larger share than its own jobs
/// need.
cell_view const* choose_wait(cell_views const& open, job_spec const& job)
{
    std::vector<cell_view const*> cells;
    std::vector<cell_view const*> local;
    for (auto const& each : open)
    {
        if (!lacks_endpoints(each))
            cells.push_back(&each);
        if (!lacks_endpoints(each) && each.local)
            local.push_back(&each);
    }
    auto const current = std::ranges::count_if(cells,
                                               [](cell_view const* each)
                                               {
                                                   return each->knows_waits;
                                               });
    if (current < 2)
        return shortest_wait(open);
    even_shares const shares(cells);
    double share = 0;
    double fair_share = 0;
    for (auto const* each : local)
    {
        share += shares.share_of(*each);
        fair_share += shares.fair_share_of(*each);
    }
    auto const share_of = [&](cell_view const& each)
    {
        return shares.share_of(each);
    };
    if (local.empty())
        return spread(cells, job, share_of);
    if (fraction_of(job.id, "") * fair_share < share)
        return spread(local, job, share_of);
    auto const surplus_of = [&](cell_view const& each)
    {
        return each.local ? 0.0
                          : shares.share_of(each) - shares.fair_share_of(each);
    };
    std::erase_if(cells,
                  [&](cell_view const* each)
                  {
                      return surplus_of(*each) <= 0;
                  });
    return cells.empty() ? shortest_wait(open) : spread(cells, job, surplus_of);
}

/// Whether another cell is known to be faster than this one, which is of the
/// own data centre.
bool is_slower(cell_view const& local, cell_views const& open)
{
    if (!local.current || local.has_room)
        return false;
    return std::ranges::any_of(
        open,
        [&](cell_view const& each)
        {
            bool const known = local.knows_waits && each.knows_waits;
            return !each.local && each.current && !lacks_endpoints(each) &&
                   (lacks_endpoints(local) ||
                    (known && each.wait + remote_penalty < local.wait));
        });
}

/// The cell of the own data centre in which the job may start at once.
cell_view const* choose_local(cell_views const& open, job_spec const& job)
{
    std::vector<cell_view const*> free;
    cell_view const* fullest = nullptr;
    for (auto const& each : open)
    {
        if (!each.local || is_slower(each, open))
            continue;
        if (each.has_room)
            free.push_back(&each);
        if (fullest == nullptr || free_of(fullest) < free_of(&each))
            fullest = &each;
    }
    return free.empty() ? fullest : choose_free(free, job);
}

/// The cell that should start the job at once, or null.
cell_view const* choose_start(cell_views const& open, job_spec const& job,
                              tried_cells const& tried)
{
    if (open.size() < 2 || !tried.overloaded.empty() ||
        tried.busy.size() >= max_idle_tries)
        return nullptr;
    std::vector<cell_view const*> free;
    bool any_local = false;
    for (auto const& each : open)
    {
        if (!each.has_room)
            continue;
        free.push_back(&each);
        any_local = any_local || each.local;
    }
    auto const* const local =
        tried.busy.empty() ? choose_local(open, job) : nullptr;
    // A refusal there would be followed by a wait, most often in the same cell.
    if (local != nullptr && free.empty() && local->knows_waits)
        return nullptr;
    if (local != nullptr)
        return local;
    if (any_local)
        std::erase_if(free,
                      [](cell_view const* each)
                      {
                          return !each->local;
                      });
    return choose_free(free, job);
}

chosen_cell make_choice(cell_view const& view, bool only_if_idle)
{
    auto const kind = only_if_idle ? (view.local ? choice_kind::local_start
                                                 : choice_kind::remote_start)
                                   : (view.local ? choice_kind::local_wait
                                                 : choice_kind::remote_wait);
    return {view.cell->address, view.cell->claim.cell, only_if_idle, kind,
            view.wait,          view.cell->age};
}

/// The longest time for which a job may wait and still end in time.
milliseconds longest_wait(job_spec const& job)
{
    std::vector<milliseconds> ends;
    milliseconds chain{0};
    for (auto const& step : job.steps)
    {
        milliseconds start{0};
        for (auto const earlier : step.after)
            start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
        ends.push_back(start + step.estimate);
        chain = std::max(chain, ends.back());
    }
    auto const slack =
        chain * (std::max(job.slack_factor - 1, 0.0) * longest_declared_factor);
    return std::chrono::round<milliseconds>(slack) + job.target_latency -
           job.age;
}

} // namespace

char const* name_of(choice_kind kind)
{
    switch (kind)
    {
    case choice_kind::local_start:
        return "local_start";
    case choice_kind::remote_start:
        return "remote_start";
    case choice_kind::local_wait:
        return "local_wait";
    case choice_kind::remote_wait:
        return "remote_wait";
    }
    return "unknown";
}

std::optional<chosen_cell>
choose_cell(std::vector<cell_dispatcher> const& cells,
            std::string const& data_centre, job_spec const& job,
            tried_cells const& tried)
{
    if (tried.overloaded.size() > max_further_offers)
        return std::nullopt;
    job_needs const needs(job);
    cell_views open;
    for (auto const& each : cells)
    {
        if (!each.claim.evacuated &&
            !tried.overloaded.contains(each.claim.cell) &&
            !tried.evacuated.contains(each.claim.cell))
            open.emplace_back(each, data_centre, needs,
                              tried.busy.contains(each.claim.cell));
    }
    if (auto const* const start = choose_start(open, job, tried))
        return make_choice(*start, true);
    if (auto const* const wait = choose_wait(open, job))
        return make_choice(*wait, false);
    return std::nullopt;
}

std::optional<job_result>
refuse_by_claims(std::vector<cell_dispatcher> const& cells, job_spec const& job)
{
    job_needs const needs(job);
    auto const longest = longest_wait(job);
    std::optional<milliseconds> shortest;
    for (auto const& each : cells)
    {
        if (each.claim.evacuated)
            continue;
        cell_view const view(each, {}, needs);
        if (!view.knows_waits || view.has_room || lacks_endpoints(view))
            return std::nullopt;
        // `free_processor` is 0 while any task waits, but a smaller one may
        // start at once.
        if (each.claim.largest_free_processor >= needs.largest_task)
            return std::nullopt;
        // The cell may have worked on its queue since.
        auto const wait = view.wait - each.age;
        shortest = shortest ? std::min(*shortest, wait) : wait;
    }
    if (!shortest || *shortest <= longest)
        return std::nullopt;
    return job_result{
        job_end::refused, end_reason::overloaded,
        std::clamp(*shortest - longest, min_retry_after, max_retry_after)};
}

} // namespace masticshift::dispatch
