#include <dispatch/cell_layout.hpp>

#include "stable_hash.hpp"

namespace masticshift::dispatch
{

namespace
{

/// An entry of half a core carries some 1,000 starts a second, and an endpoint
/// of the deployments takes ten.
constexpr unsigned cell_endpoints = 90;

/// Doubling keeps the number the same while a few endpoints come and go.
unsigned count_for(unsigned endpoints)
{
    unsigned count = 1;
    while (count * cell_endpoints < endpoints)
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

cell_layout::cell_layout(std::vector<endpoint_record> const& endpoints)
{
    std::map<std::string, unsigned> sizes;
    for (auto const& endpoint : endpoints)
        ++sizes[endpoint.data_centre];
    for (auto const& [data_centre, size] : sizes)
    {
        auto const count = count_for(size);
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
