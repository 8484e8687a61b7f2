#ifndef MASTICSHIFT_DISPATCH_ENTRY_RANK_HPP
#define MASTICSHIFT_DISPATCH_ENTRY_RANK_HPP

#include "stable_hash.hpp"

#include <dispatch/peer_types.hpp>

#include <string>
#include <tuple>
#include <vector>

namespace masticshift::dispatch
{

/// The order in which the entries of a data centre claim a cell: those without
/// a cell first, then those with more processor. Ties are broken by a hash that
/// is equal in all processes.
inline auto rank_for(std::string const& cell, entry_identity const& entry,
                     std::vector<dispatch_claim> const& claims)
{
    return std::tuple(!claims.empty(), -entry.processor,
                      stable_hash(cell + entry.address));
}

} // namespace masticshift::dispatch

#endif
