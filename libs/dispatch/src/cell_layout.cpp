#include <dispatch/cell_layout.hpp>

#include "stable_hash.hpp"

#include <algorithm>
#include <charconv>

namespace masticshift::dispatch
{

namespace
{

/// An entry with half a core handles 2,000 starts a second, and an endpoint of
/// the deployments receives ten, or eighteen in a burst. Fewer and larger cells
/// leave less capacity unused beside jobs that wait.
constexpr unsigned endpoints_per_cell = 120;

/// The layout stays while cells are larger than `endpoints_per_cell` by at most
/// this factor or smaller by at most twice this factor: endpoints that are
/// being replaced are listed twice for a while. The lower bound is wider
/// because a new layout, whose count is a power of two, may have cells of half
/// that size.
constexpr unsigned size_tolerance = 2;

bool is_tolerable(unsigned count, unsigned endpoints)
{
    auto const fitting = count * endpoints_per_cell;
    return fitting * size_tolerance >= endpoints &&
           (count == 1 || fitting <= endpoints * 2 * size_tolerance);
}

/// A power of two, so that the number stays the same while a few endpoints are
/// added or removed.
unsigned count_for(unsigned endpoints)
{
    unsigned count = 1;
    while (count * endpoints_per_cell < endpoints)
        count *= 2;
    return count;
}

std::string name_of(std::string const& data_centre, unsigned number,
                    unsigned count)
{
    return data_centre + "/" + std::to_string(number) + "/" +
           std::to_string(count);
}

} // namespace

cell_counts cell_layout::counts_of(std::vector<std::string> const& cells)
{
    cell_counts counts;
    for (auto const& name : cells)
    {
        auto const second = name.rfind('/');
        auto const first = second == std::string::npos || second == 0
                               ? std::string::npos
                               : name.rfind('/', second - 1);
        if (first == std::string::npos)
            continue;
        unsigned count = 0;
        std::from_chars(name.data() + second + 1, name.data() + name.size(),
                        count);
        auto& known = counts[name.substr(0, first)];
        known = std::max(known, count);
    }
    return counts;
}

cell_layout::cell_layout(std::vector<endpoint_record> const& endpoints,
                         cell_counts const& in_force)
{
    std::map<std::string, unsigned> sizes;
    for (auto const& endpoint : endpoints)
        ++sizes[endpoint.data_centre];
    for (auto const& [data_centre, size] : sizes)
    {
        auto const known = in_force.find(data_centre);
        bool const keep = known != in_force.end() && known->second > 0 &&
                          is_tolerable(known->second, size);
        auto const count = keep ? known->second : count_for(size);
        counts_[data_centre] = count;
        for (unsigned number = 0; number < count; ++number)
            cells_.push_back(
                {name_of(data_centre, number, count), data_centre});
    }
}

std::string cell_layout::cell_of(endpoint_record const& endpoint) const
{
    auto const found = counts_.find(endpoint.data_centre);
    if (found == counts_.end())
        return {};
    auto const number =
        static_cast<unsigned>(stable_hash(endpoint.vm) % found->second);
    return name_of(endpoint.data_centre, number, found->second);
}

} // namespace masticshift::dispatch
