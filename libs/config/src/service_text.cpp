#include <config/service_text.hpp>

#include "service_keys.hpp"
#include "service_references.hpp"
#include "to_outcome.hpp"

#include <algorithm>

namespace masticshift::config
{

namespace leaf = boost::leaf;

namespace
{

void append_missing(data_centre_config& data_centre, service_text const& text,
                    bool same_region)
{
    for (auto const& [name, other] : text.data_centres)
    {
        bool const listed = std::ranges::find(data_centre.nearest, name) !=
                            data_centre.nearest.end();
        bool const wanted = (other.region == data_centre.region) == same_region;
        if (!listed && wanted && name != data_centre.name)
            data_centre.nearest.push_back(name);
    }
}

/// Data centres that `nearest` leaves out follow the listed ones, those of
/// the same region first.
void complete_nearest(service_text& text)
{
    for (auto& [name, data_centre] : text.data_centres)
    {
        append_missing(data_centre, text, true);
        append_missing(data_centre, text, false);
    }
}

} // namespace

leaf::result<service_text> parse_service_text(std::string_view toml,
                                              std::string_view origin)
{
    BOOST_LEAF_AUTO(parsed, parse_toml(toml, origin));
    toml_table const root{origin, "", &parsed};
    service_text text;
    BOOST_LEAF_CHECK(read_service_tables(root, text));
    if (text.services.empty())
    {
        return refuse(origin, 1, result_code::config_missing_key,
                      "there is no table [service.NAME]");
    }
    BOOST_LEAF_CHECK(check_references(root, text));
    complete_nearest(text);
    text.text = toml;
    return text;
}

outcome<service_text> load_service_text(std::string_view toml,
                                        std::string_view origin)
{
    return to_outcome<service_text>(
        [&]
        {
            return parse_service_text(toml, origin);
        });
}

} // namespace masticshift::config
