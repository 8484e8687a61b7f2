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

/// Selects the loads that the next heartbeat carries, so that heartbeats stay
/// small with many services. Loads that changed since they were last sent go
/// first; among these, and among the others, the least recently sent go first.
class load_selector
{
public:
    /// Returns at most `limit` loads and records them as sent.
    std::vector<service_load> choose(std::vector<service_load> const& loads,
                                     std::size_t limit);

private:
    struct sent_load
    {
        service_load load;
        /// Number of the selection that last included it, 0 if it was never
        /// sent.
        std::uint64_t selection = 0;
    };

    std::map<std::string, sent_load, std::less<>> sent_;
    /// Number of selections so far.
    std::uint64_t selection_ = 0;
};

} // namespace masticshift::membership

#endif
