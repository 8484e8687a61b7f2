#include "checked_text.hpp"

#include "input_text.hpp"

namespace masticshift::cli
{

outcome<config::operator_configuration>
load_checked_text(std::string const& path)
{
    auto const text = read_input(path);
    if (!text)
        return text.error();
    return config::load_operator_configuration(*text, path);
}

} // namespace masticshift::cli
