#ifndef MASTICSHIFT_TEST_SUPPORT_ROW_TABLE_HPP
#define MASTICSHIFT_TEST_SUPPORT_ROW_TABLE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticshift::test_support
{

/// One row of the store. A removed row keeps the version of its removal.
struct stored_row
{
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
};

/// Rows in memory with one version counter for all tables.
class row_table
{
public:
    using key = std::pair<std::string, std::string>;

    std::int64_t version() const
    {
        return version_;
    }

    /// Starts a transaction: all writes until the next one have its version.
    void begin()
    {
        ++version_;
    }

    void put(std::string const& table, std::string const& row,
             std::string value)
    {
        rows_[{table, row}] = {std::move(value), version_, false};
    }

    void remove(std::string const& table, std::string const& row)
    {
        rows_[{table, row}] = {{}, version_, true};
    }

    /// Rows of a table from a key on, ordered by key, without removed ones.
    std::vector<std::pair<std::string, stored_row>>
    read(std::string const& table, std::string const& from) const
    {
        std::vector<std::pair<std::string, stored_row>> found;
        for (auto const& [name, row] : rows_)
        {
            if (name.first == table && name.second >= from && !row.removed)
                found.emplace_back(name.second, row);
        }
        return found;
    }

    /// Rows of a table that changed after a version, including removed ones,
    /// the oldest change first.
    std::vector<std::pair<std::string, stored_row>>
    changes(std::string const& table, std::int64_t after) const
    {
        std::multimap<std::int64_t, std::pair<std::string, stored_row>> ordered;
        for (auto const& [name, row] : rows_)
        {
            if (name.first == table && row.version > after)
                ordered.emplace(row.version, std::pair(name.second, row));
        }
        std::vector<std::pair<std::string, stored_row>> found;
        for (auto& [version, row] : ordered)
            found.push_back(std::move(row));
        return found;
    }

private:
    std::map<key, stored_row> rows_;
    std::int64_t version_ = 0;
};

} // namespace masticshift::test_support

#endif
