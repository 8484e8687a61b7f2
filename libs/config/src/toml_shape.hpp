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

/// What makes a text unfit for the TOML library, and where.
struct shape_error
{
    std::size_t line = 1;
    failure error;
};

/// Bounds size and nesting before the TOML library sees a text: the library
/// destroys nested tables recursively and does not bound dotted keys.
/// Multi-line strings are refused, so that each line can be read alone.
std::optional<shape_error> find_shape_error(std::string_view toml);

} // namespace masticshift::config

#endif
