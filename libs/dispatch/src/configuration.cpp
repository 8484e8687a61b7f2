#include <dispatch/configuration.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

queue_index::queue_index(configuration const& settings)
{
    for (auto const& queue : settings.queues)
        hosts_[queue.host].push_back(queue);
    for (auto& [host, queues] : hosts_)
    {
        std::ranges::stable_sort(queues, std::ranges::greater{},
                                 [](queue_settings const& queue)
                                 {
                                     return queue.path_prefix.size();
                                 });
    }
}

queue_settings const* queue_index::find(std::string_view host,
                                        std::string_view path) const
{
    auto const found = hosts_.find(host);
    if (found == hosts_.end())
        return nullptr;
    auto const match =
        std::ranges::find_if(found->second,
                             [&](queue_settings const& queue)
                             {
                                 return path.starts_with(queue.path_prefix);
                             });
    return match == found->second.end() ? nullptr : &*match;
}

} // namespace masticshift::dispatch
