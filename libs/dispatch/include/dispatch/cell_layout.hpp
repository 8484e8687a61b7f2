#ifndef MASTICSHIFT_DISPATCH_CELL_LAYOUT_HPP
#define MASTICSHIFT_DISPATCH_CELL_LAYOUT_HPP

#include <dispatch/endpoint_record.hpp>

#include <map>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// A part of the endpoints of a data centre, dispatched by a single entry.
struct cell
{
    /// `DATA_CENTRE/NUMBER/COUNT`.
    std::string name;
    std::string data_centre;
};

/// Number of cells of each data centre.
using cell_counts = std::map<std::string, unsigned>;

/// Divides the endpoints into cells, each small enough for one entry to
/// dispatch. The result depends only on the endpoints and on the cells that are
/// dispatched already, so that all entries compute the same layout.
class cell_layout
{
public:
    cell_layout() = default;

    /// Keeps the counts of `in_force` unless they are far from what the number
    /// of endpoints requires, because a new count makes every cell of the data
    /// centre change its dispatcher.
    cell_layout(std::vector<endpoint_record> const& endpoints,
                cell_counts const& in_force);

    /// Reads the counts from the names of dispatched cells.
    static cell_counts counts_of(std::vector<std::string> const& cells);

    /// Ordered by name.
    std::vector<cell> const& cells() const
    {
        return cells_;
    }

    std::string cell_of(endpoint_record const& endpoint) const;

private:
    cell_counts counts_;
    std::vector<cell> cells_;
};

} // namespace masticshift::dispatch

#endif
