#ifndef MASTICSHIFT_DISPATCH_TESTS_CELL_CHOICE_MODEL_HPP
#define MASTICSHIFT_DISPATCH_TESTS_CELL_CHOICE_MODEL_HPP

#include <dispatch/cell_choice.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace masticshift::dispatch::testing
{

/// What the model has counted.
struct choice_counts
{
    std::size_t jobs = 0;
    /// Jobs that started in a cell of their entry's data centre.
    std::size_t local = 0;
    /// Refusals because the cell could not start the job at once.
    std::size_t busy = 0;
    /// Sum of the waits of all jobs until their last task started.
    milliseconds waited{0};
    /// Jobs that waited for longer than 100 ms.
    std::size_t waited_long = 0;
    /// Jobs refused by claims, and those of them that a cell could have started
    /// at once.
    std::size_t refused = 0;
    std::size_t refused_with_room = 0;
    /// Sum over all claim intervals: jobs that waited or started in another
    /// data centre, and the most of these in one cell.
    std::size_t forwarded = 0;
    std::size_t forwarded_to_one = 0;
};

/// One cell for each data centre, entries that choose by claims of up to 100 ms
/// ago, and jobs that arrive at random, at rates that rise and fall out of
/// phase in the data centres. Without network or threads, in steps of 1 ms.
class cell_choice_model
{
public:
    struct settings
    {
        std::size_t cells = 4;
        /// Endpoints of a cell.
        std::size_t endpoints = 88;
        std::int64_t endpoint_processor = 32'000;
        /// Part of the capacity that the jobs need on average, and by how much
        /// the rate of a data centre differs from it at most.
        double load = 0.7;
        double swing = 0.5;
        /// Claims carry `waits` and `largest_free_processor`.
        bool has_waits = false;
    };

    cell_choice_model(settings const& from, unsigned seed)
        : settings_(from), random_(seed)
    {
        for (std::size_t i = 0; i < from.cells; ++i)
        {
            cell each;
            each.name = centre_of(i) + "/0/1";
            each.free.assign(from.endpoints, from.endpoint_processor);
            cells_.push_back(std::move(each));
        }
    }

    void run_for(milliseconds time)
    {
        for (auto const until = now_ + time; now_ < until;
             now_ += milliseconds(1))
            step();
    }

    choice_counts const& counts() const
    {
        return counts_;
    }

private:
    struct task
    {
        std::int64_t processor = 0;
        milliseconds length{0};
        milliseconds arrived{0};
        bool last = false;
    };

    struct cell
    {
        std::string name;
        std::vector<std::int64_t> free;
        std::multimap<milliseconds, std::pair<std::size_t, std::int64_t>> ends;
        std::deque<task> waiting;
        cell_dispatcher published;
        std::size_t forwarded = 0;
    };

    static std::string centre_of(std::size_t number)
    {
        return std::string(1, static_cast<char>('a' + number));
    }

    void step()
    {
        for (auto& each : cells_)
        {
            end_runs(each);
            start_waiting(each);
        }
        if (now_ % claim_interval == milliseconds(0))
            publish_claims();
        for (std::size_t centre = 0; centre < cells_.size(); ++centre)
            add_jobs(centre);
    }

    void end_runs(cell& at) const
    {
        while (!at.ends.empty() && at.ends.begin()->first <= now_)
        {
            auto const [endpoint, processor] = at.ends.begin()->second;
            at.free[endpoint] += processor;
            at.ends.erase(at.ends.begin());
        }
    }

    bool start(cell& at, task const& each)
    {
        auto const found =
            std::ranges::find_if(at.free,
                                 [&](std::int64_t free)
                                 {
                                     return free >= each.processor;
                                 });
        if (found == at.free.end())
            return false;
        *found -= each.processor;
        at.ends.emplace(
            now_ + each.length,
            std::pair(static_cast<std::size_t>(found - at.free.begin()),
                      each.processor));
        if (each.last)
        {
            counts_.waited += now_ - each.arrived;
            counts_.waited_long +=
                now_ - each.arrived > milliseconds(100) ? 1U : 0U;
        }
        return true;
    }

    void start_waiting(cell& at)
    {
        while (!at.waiting.empty() && start(at, at.waiting.front()))
            at.waiting.pop_front();
    }

    void publish_claims()
    {
        for (auto& each : cells_)
        {
            auto& claim = each.published.claim;
            each.published.address = each.name;
            claim.cell = each.name;
            claim.endpoints = static_cast<std::int64_t>(each.free.size());
            claim.free_processor = 0;
            claim.largest_free_processor = 0;
            for (auto const free : each.free)
                claim.free_processor += free / mean_need * mean_need;
            if (!each.waiting.empty())
                claim.free_processor = 0;
            claim.backlog = backlog(each);
            if (settings_.has_waits)
            {
                claim.waits = {claim.backlog};
                claim.largest_free_processor =
                    *std::ranges::max_element(each.free);
            }
        }
        std::size_t most = 0;
        for (auto& each : cells_)
            most = std::max(most, std::exchange(each.forwarded, 0));
        counts_.forwarded_to_one += most;
    }

    milliseconds backlog(cell const& at) const
    {
        double work = 0;
        for (auto const& each : at.waiting)
            work += static_cast<double>(each.processor) *
                    static_cast<double>(each.length.count());
        auto const capacity =
            static_cast<double>(settings_.endpoint_processor) *
            static_cast<double>(at.free.size());
        return milliseconds(static_cast<std::int64_t>(work / capacity));
    }

    void add_jobs(std::size_t centre)
    {
        constexpr double wave_ms = 11'000;
        constexpr double turn = 6.283185307179586;
        auto const phase =
            static_cast<double>(now_.count()) / wave_ms +
            static_cast<double>(centre) / static_cast<double>(cells_.size());
        auto const capacity =
            static_cast<double>(settings_.endpoint_processor) *
            static_cast<double>(settings_.endpoints);
        auto const work = static_cast<double>(mean_need) * mean_tasks *
                          static_cast<double>(mean_length.count());
        auto const rate = settings_.load * capacity / work *
                          (1 + settings_.swing * std::sin(turn * phase));
        auto const count = std::poisson_distribution<int>(rate)(random_);
        for (int i = 0; i < count; ++i)
            run_job(centre);
    }

    void run_job(std::size_t centre)
    {
        job_spec job;
        job.id = "job " + std::to_string(++counts_.jobs);
        job_step step;
        step.task_count = std::uniform_int_distribution(1, 4)(random_);
        step.need.processor = std::uniform_int_distribution(
            mean_need - spread_need, mean_need + spread_need)(random_);
        step.estimate = mean_length;
        job.steps.push_back(step);
        job.slack_factor = 1.6;
        job.target_latency = milliseconds(60);
        tried_cells tried;
        for (;;)
        {
            std::vector<cell_dispatcher> known;
            for (auto const& each : cells_)
            {
                known.push_back(each.published);
                known.back().age = now_ % claim_interval;
            }
            if (refuse_by_claims(known, job))
            {
                ++counts_.refused;
                counts_.refused_with_room += any_has_room(step) ? 1U : 0U;
                return;
            }
            auto const choice =
                choose_cell(known, centre_of(centre), job, tried);
            auto& at = *std::ranges::find(cells_, choice->cell, &cell::name);
            if (choice->only_if_idle && !has_room(at, step))
            {
                ++counts_.busy;
                tried.busy.insert(at.name);
                continue;
            }
            accept(at, step);
            bool const local = at.name == cells_[centre].name;
            counts_.local += local ? 1U : 0U;
            if (!local || !choice->only_if_idle)
            {
                ++at.forwarded;
                ++counts_.forwarded;
            }
            return;
        }
    }

    static bool has_room(cell const& at, job_step const& step)
    {
        std::int64_t places = 0;
        for (auto const free : at.free)
            places += free / step.need.processor;
        return at.waiting.empty() && places >= step.task_count;
    }

    bool any_has_room(job_step const& step) const
    {
        return std::ranges::any_of(cells_,
                                   [&](cell const& each)
                                   {
                                       return has_room(each, step);
                                   });
    }

    void accept(cell& at, job_step const& step)
    {
        std::uniform_int_distribution<std::int64_t> vary(
            mean_length.count() * 6 / 10, mean_length.count() * 14 / 10);
        for (int i = 0; i < step.task_count; ++i)
            at.waiting.push_back({step.need.processor,
                                  milliseconds(vary(random_)), now_,
                                  i + 1 == step.task_count});
        start_waiting(at);
    }

    static constexpr milliseconds claim_interval{100};
    static constexpr std::int64_t mean_need = 16'000;
    static constexpr std::int64_t spread_need = 3'000;
    static constexpr double mean_tasks = 2.5;
    static constexpr milliseconds mean_length{170};

    settings settings_;
    std::mt19937 random_;
    milliseconds now_{0};
    std::vector<cell> cells_;
    choice_counts counts_;
};

} // namespace masticshift::dispatch::testing

#endif
