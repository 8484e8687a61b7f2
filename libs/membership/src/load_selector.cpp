#include <membership/load_selector.hpp>

#include <algorithm>
#include <tuple>

namespace masticshift::membership
{

std::vector<service_load>
load_selector::choose(std::vector<service_load> const& loads, std::size_t limit)
{
    ++turn_;
    auto const gone = [&loads](auto const& told)
    {
        return std::ranges::find(loads, told.first, &service_load::service) ==
               loads.end();
    };
    std::erase_if(told_, gone);
    auto chosen = loads;
    auto const rank = [this](service_load const& load)
    {
        auto const& told = told_[load.service];
        return std::tuple(told.load == load, told.turn);
    };
    std::ranges::stable_sort(chosen, {}, rank);
    chosen.resize(std::min(chosen.size(), limit));
    for (auto const& load : chosen)
        told_[load.service] = {load, turn_};
    return chosen;
}

} // namespace masticshift::membership
