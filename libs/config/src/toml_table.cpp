#include "toml_table.hpp"

#include "toml_shape.hpp"

namespace masticshift::config
{

namespace leaf = boost::leaf;

namespace
{

std::string join_path(std::string const& parent, std::string_view name)
{
    if (parent.empty())
        return std::string(name);
    return parent + "." + std::string(name);
}

std::size_t line_at(toml::source_region const& source)
{
    return source.begin.line == 0 ? 1 : source.begin.line;
}

} // namespace

std::size_t toml_table::line() const
{
    return table == nullptr ? 1 : line_at(table->source());
}

std::size_t toml_table::line_of(std::string_view key) const
{
    auto const* const node = table == nullptr ? nullptr : table->get(key);
    return node == nullptr ? line() : line_at(node->source());
}

leaf::error_id refuse(std::string_view origin, std::size_t line,
                      result_code code, std::string const& detail)
{
    return leaf::new_error(failure{code, std::string(origin) + ":" +
                                             std::to_string(line) + ": " +
                                             detail});
}

leaf::error_id refuse(toml_value const& value, result_code code,
                      std::string const& detail)
{
    return refuse(value.origin, line_at(value.node->source()), code,
                  value.path + ": " + detail);
}

leaf::result<toml::table> parse_toml(std::string_view text,
                                     std::string_view origin)
{
    if (auto const error = find_shape_error(text))
    {
        return refuse(origin, error->line, error->error.code,
                      error->error.detail);
    }
    try
    {
        return toml::parse(text);
    }
    catch (toml::parse_error const& error)
    {
        return refuse(origin, line_at(error.source()),
                      result_code::config_syntax,
                      std::string(error.description()));
    }
}

leaf::result<toml_table> subtable_of(toml_table const& parent,
                                     std::string_view name)
{
    toml_table found{parent.origin, join_path(parent.path, name), nullptr};
    auto const* const node =
        parent.table == nullptr ? nullptr : parent.table->get(name);
    if (node == nullptr)
        return found;
    found.table = node->as_table();
    if (found.table == nullptr)
    {
        return refuse({parent.origin, found.path, node},
                      result_code::config_wrong_type, "must be a table");
    }
    return found;
}

} // namespace masticshift::config
