#ifndef MASTICSHIFT_TEST_SUPPORT_ROW_TABLE_HPP
#define MASTICSHIFT_TEST_SUPPORT_ROW_TABLE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticshift::test_support
{

/// One row as the store keeps it.
struct kept_row
{
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
};

/// Rows in memory under one counter of versions.
class row_table
{
public:
    using key = std::pair<std::string, std::string>;

    std::int64_t version() const
    {
        return version_;
    }

    /// Begins a transaction: the writes that follow share its version.
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

    /// Rows of a table in the order of their keys.
    std::vector<std::pair<std::string, kept_row>>
    read(std::string const& table, std::string const& from) const
    {
        std::vector<std::pair<std::string, kept_row>> found;
        for (auto const& [name, row] : rows_)
        {
            if (name.first == table && name.second >= from && !row.removed)
                found.emplace_back(name.second, row);
        }
        return found;
    }

    /// Rows of a table that changed after a version, the oldest first.
    std::vector<std::pair<std::string, kept_row>>
    changes(std::string const& table, std::int64_t after) const
    {
        std::multimap<std::int64_t, std::pair<std::string, kept_row>> ordered;
        for (auto const& [name, row] : rows_)
        {
            if (name.first == table && row.version > after)
                ordered.emplace(row.version, std::pair(name.second, row));
        }
        std::vector<std::pair<std::string, kept_row>> found;
        for (auto& [version, row] : ordered)
            found.push_back(std::move(row));
        return found;
    }

private:
    std::map<key, kept_row> rows_;
    std::int64_t version_ = 0;
};

} // namespace masticshift::test_support

#endif
