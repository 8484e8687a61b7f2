#ifndef PLATFORM_STANDIN_TABLE_STORE_HPP
#define PLATFORM_STANDIN_TABLE_STORE_HPP

#include <store/table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace platform_standin
{

namespace store = masticshift::store;

/// Result of a transaction.
struct commit_result
{
    /// The failed version checks, with the versions found instead.
    std::vector<store::version_check> conflicts;
    /// The new version of each write. Empty if there are conflicts.
    std::vector<std::uint64_t> versions;
};

/// In-memory key-value store with versions and transactions.
class table_store
{
public:
    std::optional<store::table_entry> read(store::table_key const& key) const;

    commit_result commit(store::transaction const& request);

private:
    struct versioned_value
    {
        /// Number of writes, which is the version. Deletion does not reset it,
        /// so that a version is never used twice.
        std::uint64_t writes = 0;
        std::optional<std::string> value;
    };

    std::uint64_t version_of(store::table_key const& key) const;

    std::map<store::table_key, versioned_value> values_;
};

} // namespace platform_standin

#endif
