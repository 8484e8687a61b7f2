#ifndef MASTICSHIFT_CONFIG_TOML_SHAPE_HPP
#define MASTICSHIFT_CONFIG_TOML_SHAPE_HPP

#include <core/outcome.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace masticshift::config
{

inline constexpr std::size_t max_text_bytes = 1 << 20;
inline constexpr unsigned max_nested_brackets = 8;
inline constexpr unsigned max_key_dots = 16;

/// Why a text must not be passed to the TOML library, and the line of the
/// fault.
struct shape_error
{
    std::size_t line = 1;
    failure error;
};

/// Checks size and nesting before a text is passed to the TOML library, which
/// destroys nested tables recursively and does not limit the parts of a dotted
/// key, so that deep nesting could exhaust the stack. Multi-line strings are
/// refused so that each line can be scanned by itself.
std::optional<shape_error> find_shape_error(std::string_view toml);

} // namespace masticshift::config

#endif
