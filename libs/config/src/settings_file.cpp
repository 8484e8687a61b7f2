#include "settings_file.hpp"

#include "toml_shape.hpp"

#include <fstream>

namespace masticshift::config
{

outcome<std::string> read_settings_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return failure{result_code::io_error, "cannot open " + path};
    std::string text(max_text_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad())
        return failure{result_code::io_error, "cannot read " + path};
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

} // namespace masticshift::config
