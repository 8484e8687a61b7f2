#include "vm_history.hpp"

#include <algorithm>
#include <utility>

namespace platform_standin
{

namespace
{

constexpr std::size_t max_versions = 1'024;

} // namespace

void vm_history::set(boost::json::array vms, masticshift::time_point now)
{
    versions_.push_back({now, std::move(vms)});
    if (versions_.size() > max_versions)
        versions_.pop_front();
}

boost::json::array const&
vm_history::visible(masticshift::time_point now,
                    masticshift::milliseconds lag) const
{
    auto const newest = std::find_if(versions_.rbegin(), versions_.rend(),
                                     [&](version const& each)
                                     {
                                         return each.since <= now - lag;
                                     });
    return newest == versions_.rend() ? versions_.front().vms : newest->vms;
}

} // namespace platform_standin
