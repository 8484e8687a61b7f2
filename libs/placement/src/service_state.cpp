#include "service_state.hpp"

#include "seconds.hpp"
#include "stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace masticshift::placement
{

namespace
{

// Speeds are grouped into classes, each a factor of sqrt(2) wide. Speed 1 is in
// the middle class.
constexpr double classes_per_octave = 2;
constexpr double class_of_speed_1 = 8;
// An endpoint counts as clearly faster if its speed is higher by this factor.
constexpr double clearly_faster_factor = 1.25;
// Endpoints are sorted by speed again after this many results, or one result
// per this many endpoints if that is more.
constexpr std::uint32_t min_results_to_reorder = 32;
constexpr std::size_t endpoints_per_needed_result = 4;

} // namespace

service_state::service_state(config::service_config configured,
                             std::vector<endpoint_state*> const& endpoints,
                             job_order order, engine_settings const& settings)
    : config(std::move(configured)),
      by_rank(endpoints.size()),
      queue(order, settings.ageing),
      model(config.run_time),
      startable_(endpoints.size())
{
    auto const own_seed = stable_hash(settings.address);
    for (auto* endpoint : endpoints)
    {
        auto const seed = stable_hash(endpoint->config.name, own_seed);
        members.push_back({endpoint, {}, endpoint_health(seed)});
    }
    failures.endpoints = static_cast<unsigned>(members.size());
    failures.max_ejected_fraction = settings.max_ejected_fraction;
    std::iota(by_rank.begin(), by_rank.end(), 0U);
}

void service_state::inherit(service_state const& earlier)
{
    model = earlier.model;
    for (auto const& known : earlier.members)
    {
        auto const same =
            std::ranges::find(members, known.endpoint, &member_state::endpoint);
        if (same == members.end())
            continue;
        same->speed = known.speed;
        same->health = known.health;
        same->health.add_to(failures);
    }
}

void service_state::refresh(std::uint32_t index, time_point now)
{
    auto const& member = members[index];
    auto const& endpoint = *member.endpoint;
    bool const on = endpoint.startable > 0 && !endpoint.leaving &&
                    member.running < member.health.limit(now);
    startable_.assign(member.rank, on);
}

std::optional<slot_choice> service_state::fastest(double work,
                                                  time_point now) const
{
    for (auto rank = startable_.next(0); rank != rank_bitmap::none;
         rank = startable_.next(rank + 1))
    {
        auto const index = by_rank[rank];
        auto const& member = members[index];
        double const speed = member.speed.value();
        auto const length = from_seconds(work / speed);
        if (auto const slot = member.endpoint->pick_slot(length, now))
            return slot_choice{index, *slot, speed};
    }
    return std::nullopt;
}

double service_state::end_when_waiting(double work, double speed) const
{
    double running = 0;
    double total_speed = 0;
    for (std::size_t i = 0; i < speed_classes; ++i)
    {
        if (speed_of(i) < speed * clearly_faster_factor)
            continue;
        running += running_by_class_[i];
        total_speed += running_by_class_[i] * speed_of(i);
    }
    if (running == 0)
        return std::numeric_limits<double>::infinity();
    // Rate at which slots become free if run times are exponentially
    // distributed.
    double const rate = total_speed / model.mean();
    double const wait = static_cast<double>(queued_tasks) / rate;
    return wait + work * running / total_speed;
}

void service_state::record_start(std::uint32_t index)
{
    auto& member = members[index];
    ++member.running;
    ++running_tasks;
    ++running_by_class_[member.speed_class];
}

void service_state::record_end(std::uint32_t index)
{
    auto& member = members[index];
    --member.running;
    --running_tasks;
    --running_by_class_[member.speed_class];
}

void service_state::learn(std::uint32_t index, float log_size, duration took)
{
    auto& speed = members[index].speed;
    double const seconds = to_seconds(took) * speed.value();
    double const residual = model.learn(log_size, seconds);
    speed.learn(residual);
    ++results_since_reorder_;
}

bool service_state::reorder_if_due(time_point now)
{
    auto const needed = std::max<std::size_t>(
        min_results_to_reorder, members.size() / endpoints_per_needed_result);
    if (results_since_reorder_ < needed)
        return false;
    reorder(now);
    return true;
}

void service_state::reorder(time_point now)
{
    results_since_reorder_ = 0;
    normalise_speeds();
    std::ranges::stable_sort(by_rank, std::greater{},
                             [this](auto i)
                             {
                                 return members[i].speed.value();
                             });
    running_by_class_.fill(0);
    for (std::uint32_t rank = 0; rank < by_rank.size(); ++rank)
    {
        auto& member = members[by_rank[rank]];
        member.rank = rank;
        member.speed_class = class_of(member.speed.value());
        running_by_class_[member.speed_class] += member.running;
    }
    for (std::uint32_t i = 0; i < members.size(); ++i)
        refresh(i, now);
    update_capacity();
}

// Speeds and run times are determined only up to a common factor. Scales them
// so that the geometric mean of the speeds is 1.
void service_state::normalise_speeds()
{
    if (members.empty())
        return;
    double sum = 0;
    for (auto const& member : members)
        sum += std::log(member.speed.value());
    double const factor = std::exp(sum / static_cast<double>(members.size()));
    for (auto& member : members)
        member.speed.rescale(1 / factor);
    model.rescale(1 / factor);
}

std::uint8_t service_state::class_of(double speed)
{
    double const step =
        std::log2(speed) * classes_per_octave + class_of_speed_1;
    double const last = speed_classes - 1;
    return static_cast<std::uint8_t>(std::clamp(std::round(step), 0.0, last));
}

double service_state::speed_of(std::size_t speed_class)
{
    auto const step = static_cast<double>(speed_class) - class_of_speed_1;
    return std::exp2(step / classes_per_octave);
}

double service_state::best_speed(time_point now) const
{
    for (auto const index : by_rank)
    {
        auto const& member = members[index];
        if (!member.endpoint->leaving && member.health.usable(now))
            return member.speed.value();
    }
    return 1;
}

bool service_state::usable(time_point now) const
{
    return std::ranges::any_of(members,
                               [now](member_state const& member)
                               {
                                   return !member.endpoint->leaving &&
                                          member.health.usable(now);
                               });
}

void service_state::update_capacity()
{
    owned_capacity_ = 0;
    for (auto const& member : members)
    {
        if (member.endpoint->leaving)
            continue;
        auto const owned = std::ranges::count_if(member.endpoint->slots,
                                                 [](auto const& slot)
                                                 {
                                                     return slot.owned;
                                                 });
        owned_capacity_ += static_cast<double>(owned) * member.speed.value();
    }
}

duration service_state::mean_run_time(member_state const& member) const
{
    return from_seconds(model.mean() / member.speed.value());
}

} // namespace masticshift::placement
