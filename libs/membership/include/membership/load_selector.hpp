#ifndef MASTICSHIFT_MEMBERSHIP_LOAD_SELECTOR_HPP
#define MASTICSHIFT_MEMBERSHIP_LOAD_SELECTOR_HPP

#include <membership/heartbeat.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace masticshift::membership
{

/// Chooses the loads of the next heartbeat, so that heartbeats stay small with
/// many services: those that changed since they were told go first, and among
/// these and among the others the one that was told longest ago.
class load_selector
{
public:
    std::vector<service_load> choose(std::vector<service_load> const& loads,
                                     std::size_t limit);

private:
    struct told_load
    {
        service_load load;
        /// 0 for one that was never told.
        std::uint64_t turn = 0;
    };

    std::map<std::string, told_load, std::less<>> told_;
    std::uint64_t turn_ = 0;
};

} // namespace masticshift::membership

#endif
