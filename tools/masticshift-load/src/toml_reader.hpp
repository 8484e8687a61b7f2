#ifndef MASTICSHIFT_LOAD_TOML_READER_HPP
#define MASTICSHIFT_LOAD_TOML_READER_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>
#include <core/time.hpp>

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace masticshift::load
{

/// Reads the keys of one TOML table into variables and keeps the first error.
/// An absent key leaves its variable unchanged.
class toml_reader
{
public:
    toml_reader(toml::table const& table, std::string origin);

    void read(std::string_view key, double& number, double min_value);
    void read(std::string_view key, std::uint64_t& number);
    void read(std::string_view key, unsigned& number, unsigned min_value);
    void read(std::string_view key, milliseconds& value);
    void read(std::string_view key, bool& flag);
    void read(std::string_view key, std::string& text);
    void read(std::string_view key, config::socket_address& address);

    /// Reads the name of an enumerator. `find_name` returns its value, or
    /// nothing when the name is unknown.
    template <class Enum, class FindName>
    void read_name(std::string_view key, Enum& value, FindName find_name)
    {
        std::string name;
        read(key, name);
        if (!has(key))
            return;
        auto const found = find_name(name);
        if (found)
            value = *found;
        else
            fail(key, result_code::config_unknown_reference, "unknown name");
    }

    /// Calls `read_row` with a reader for each table in the array of tables at
    /// this key, or for the single table there.
    template <class ReadRow>
    void read_tables(std::string_view key, ReadRow read_row)
    {
        auto const* const node = find(key);
        if (node && node->is_table())
            read_row_of(*node->as_table(), read_row);
        else if (node && node->is_array())
            for (auto const& row : *node->as_array())
                if (row.is_table())
                    read_row_of(*row.as_table(), read_row);
                else
                    fail(key, result_code::config_wrong_type, "not a table");
        else if (node)
            fail(key, result_code::config_wrong_type, "not a table");
    }

    bool has(std::string_view key) const;
    void fail(std::string_view key, result_code code, std::string_view detail);

    /// The first error. A key that was never read is an error too.
    std::optional<failure> error() const;

private:
    template <class ReadRow>
    void read_row_of(toml::table const& row, ReadRow& read_row)
    {
        toml_reader reader(row, origin_);
        read_row(reader);
        auto failed = reader.error();
        if (failed && !error_)
            error_ = std::move(failed);
    }

    toml::node const* find(std::string_view key);
    std::string location_of(toml::source_region const& source) const;

    toml::table const& table_;
    std::string origin_;
    std::set<std::string, std::less<>> read_keys_;
    std::optional<failure> error_;
};

} // namespace masticshift::load

#endif
