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

/// Names one value of the platform's table service.
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

/// A value with the number of writes that its key has seen. Version 0: the
/// key is absent.
struct table_entry
{
    std::uint64_t version = 0;
    std::string value;
};

/// Holds while the key has this version.
struct version_check
{
    table_key key;
    std::uint64_t version = 0;
};

/// No value: the key is deleted.
struct table_write
{
    table_key key;
    std::optional<std::string> value;
};

/// All checks hold and all writes take effect, or none does.
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
    /// It may have been written, or may be at any later time.
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
