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

/// What a transaction came to.
struct commit_result
{
    /// The checks that did not hold, with the versions found instead.
    std::vector<store::version_check> conflicts;
    /// The new version of each write. Empty when there are conflicts.
    std::vector<std::uint64_t> versions;
};

/// Versioned values with transactions, in memory.
class table_store
{
public:
    std::optional<store::table_entry> read(store::table_key const& key) const;

    commit_result commit(store::transaction const& request);

private:
    struct slot
    {
        /// Goes on counting after the key was deleted.
        std::uint64_t writes = 0;
        std::optional<std::string> value;
    };

    std::uint64_t version_of(store::table_key const& key) const;

    std::map<store::table_key, slot> slots_;
};

} // namespace platform_standin

#endif
