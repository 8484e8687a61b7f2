#include <membership/load_selector.hpp>

#include <algorithm>
#include <tuple>

namespace masticshift::membership
{

std::vector<service_load>
load_selector::choose(std::vector<service_load> const& loads, std::size_t limit)
{
    ++selection_;
    auto const is_removed = [&loads](auto const& sent)
    {
        return std::ranges::find(loads, sent.first, &service_load::service) ==
               loads.end();
    };
    std::erase_if(sent_, is_removed);
    auto chosen = loads;
    auto const rank = [this](service_load const& load)
    {
        auto const& sent = sent_[load.service];
        return std::tuple(sent.load == load, sent.selection);
    };
    std::ranges::stable_sort(chosen, {}, rank);
    chosen.resize(std::min(chosen.size(), limit));
    for (auto const& load : chosen)
        sent_[load.service] = {load, selection_};
    return chosen;
}

} // namespace masticshift::membership
