#ifndef MASTICSHIFT_STORE_TABLE_HPP
#define MASTICSHIFT_STORE_TABLE_HPP

#include <core/outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace masticshift::store
{

/// Key of one value in the platform's table service.
struct table_key
{
    std::string table;
    std::string key;

    friend bool operator==(table_key const&, table_key const&) = default;

    friend bool operator<(table_key const& a, table_key const& b)
    {
        return std::tie(a.table, a.key) < std::tie(b.table, b.key);
    }
};

/// A value and its version, which is the number of writes to its key. Version
/// 0: the key is absent.
struct table_entry
{
    std::uint64_t version = 0;
    std::string value;
};

/// Condition of a transaction: the key has this version.
struct version_check
{
    table_key key;
    std::uint64_t version = 0;
};

/// Sets the value of a key. Without a value, deletes the key.
struct table_write
{
    table_key key;
    std::optional<std::string> value;
};

/// An atomic transaction: if all checks hold, all writes take effect, otherwise
/// none does.
struct transaction
{
    std::vector<version_check> checks;
    std::vector<table_write> writes;
};

enum class commit_state
{
    committed,
    /// A check did not hold; nothing was written.
    conflict,
    /// Nothing was written, and nothing will be.
    not_written,
    /// It may have been written, or may still be written later.
    unknown
};

struct commit_answer
{
    commit_state state = commit_state::unknown;
    /// The cause, for `not_written` and `unknown`.
    failure error;
};

} // namespace masticshift::store

#endif
