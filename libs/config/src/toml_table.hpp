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

/// A table of a parsed text, with its origin and path for error messages.
struct toml_table
{
    std::string_view origin;
    /// Path of the table, for example `service.orderdesk`. Empty at the root.
    std::string path;
    toml::table const* table = nullptr;

    std::size_t line() const;
    /// The line of the value of a key, or of the table if the key is absent.
    std::size_t line_of(std::string_view key) const;
};

/// A value of a table, with its origin and path for error messages.
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

/// Parses a text. Fails for a text that `find_shape_error` or the TOML library
/// refuses.
boost::leaf::result<toml::table> parse_toml(std::string_view text,
                                            std::string_view origin);

/// The table of this name inside another. Its `table` is null if the name is
/// absent. Fails if the name has a value of another type.
boost::leaf::result<toml_table> subtable_of(toml_table const& parent,
                                            std::string_view name);

} // namespace masticshift::config

#endif
