#ifndef MASTICSHIFT_DISPATCH_CELL_LAYOUT_HPP
#define MASTICSHIFT_DISPATCH_CELL_LAYOUT_HPP

#include <dispatch/endpoint_record.hpp>

#include <map>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// A part of the endpoints of a data centre that one entry dispatches.
struct cell
{
    /// `DATA_CENTRE/NUMBER/COUNT`.
    std::string name;
    std::string data_centre;
};

/// Divides the endpoints into cells that one entry can dispatch each. Depends
/// on the endpoints alone, so that all entries come to the same.
class cell_layout
{
public:
    cell_layout() = default;
    explicit cell_layout(std::vector<endpoint_record> const& endpoints);

    /// Ordered by name.
    std::vector<cell> const& cells() const
    {
        return cells_;
    }

    std::string cell_of(endpoint_record const& endpoint) const;

private:
    std::map<std::string, unsigned> counts_;
    std::vector<cell> cells_;
};

} // namespace masticshift::dispatch

#endif
