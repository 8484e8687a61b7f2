#ifndef MASTICSHIFT_CONFIG_READ_VALUE_HPP
#define MASTICSHIFT_CONFIG_READ_VALUE_HPP

#include "toml_table.hpp"

#include <config/daemon_settings.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::config
{

/// Form that a string value must have.
enum class text_form
{
    any,
    /// As `is_name`.
    name,
    /// An address to bind: any IP address, any port.
    listen_address,
    /// An address to connect to: neither the port nor the IP address may be 0.
    connect_address
};

/// Constraints on a value besides its type.
struct value_rule
{
    /// Inclusive bounds of a number, or of the length of a string in bytes.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    text_form form = text_form::any;
};

inline constexpr std::size_t max_name_length = 64;
inline constexpr std::size_t max_list_length = 4'096;

/// Whether a name is 1 to `max_name_length` letters, digits, '-', '_', '.'.
bool is_name(std::string_view text);

using read_result = boost::leaf::result<void>;

// One overload for each type that a key can have.
read_result read_value(toml_value const&, value_rule const&, bool&);
read_result read_value(toml_value const&, value_rule const&, double&);
read_result read_value(toml_value const&, value_rule const&, unsigned&);
read_result read_value(toml_value const&, value_rule const&, std::size_t&);
read_result read_value(toml_value const&, value_rule const&, milliseconds&);
read_result read_value(toml_value const&, value_rule const&, std::string&);
read_result read_value(toml_value const&, value_rule const&, log_level&);
read_result read_value(toml_value const&, value_rule const&, socket_address&);
read_result read_value(toml_value const&, value_rule const&,
                       std::vector<std::string>&);
read_result read_value(toml_value const&, value_rule const&,
                       std::vector<socket_address>&);

} // namespace masticshift::config

#endif
