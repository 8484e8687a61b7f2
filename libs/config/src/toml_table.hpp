#ifndef MASTICSHIFT_CONFIG_TOML_TABLE_HPP
#define MASTICSHIFT_CONFIG_TOML_TABLE_HPP

#include <core/outcome.hpp>

#include <boost/leaf/result.hpp>
#include <toml++/toml.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace masticshift::config
{

/// A table of a parsed text with what errors need to name its place.
struct toml_table
{
    std::string_view origin;
    /// Path of the table, for example `service.orderdesk`. Empty at the root.
    std::string path;
    toml::table const* table = nullptr;

    std::size_t line() const;
    /// The line of a key's value, or of the table where the key is absent.
    std::size_t line_of(std::string_view key) const;
};

/// A value of a table with what errors need to name its place.
struct toml_value
{
    std::string_view origin;
    /// Path of the key, for example `limits.max_tasks`.
    std::string path;
    toml::node const* node = nullptr;
};

/// Makes a `failure` of the form `ORIGIN:LINE: detail`.
boost::leaf::error_id refuse(std::string_view origin, std::size_t line,
                             result_code code, std::string const& detail);
boost::leaf::error_id refuse(toml_value const& value, result_code code,
                             std::string const& detail);

/// Parses a text of bounded size and nesting.
boost::leaf::result<toml::table> parse_toml(std::string_view text,
                                            std::string_view origin);

/// The table of this name inside another. Fails where it is another type.
boost::leaf::result<toml_table> subtable_of(toml_table const& parent,
                                            std::string_view name);

} // namespace masticshift::config

#endif
