#include <config/operator_configuration.hpp>

#include "service_keys.hpp"
#include "service_references.hpp"
#include "to_outcome.hpp"

#include <algorithm>

namespace masticshift::config
{

namespace leaf = boost::leaf;

namespace
{

/// Appends the data centres that `nearest` does not list and that are, or are
/// not, in the same region.
void append_unlisted(data_centre_config& data_centre,
                     operator_configuration const& configuration,
                     bool same_region)
{
    for (auto const& [name, other] : configuration.data_centres)
    {
        bool const listed = std::ranges::find(data_centre.nearest, name) !=
                            data_centre.nearest.end();
        bool const in_scope =
            (other.region == data_centre.region) == same_region;
        if (!listed && in_scope && name != data_centre.name)
            data_centre.nearest.push_back(name);
    }
}

/// Appends the data centres that `nearest` does not list, those of the same
/// region first.
void complete_nearest(operator_configuration& configuration)
{
    for (auto& [name, data_centre] : configuration.data_centres)
    {
        append_unlisted(data_centre, configuration, true);
        append_unlisted(data_centre, configuration, false);
    }
}

} // namespace

leaf::result<operator_configuration>
parse_operator_configuration(std::string_view toml, std::string_view origin)
{
    BOOST_LEAF_AUTO(parsed, parse_toml(toml, origin));
    toml_table const root{origin, "", &parsed};
    operator_configuration configuration;
    BOOST_LEAF_CHECK(read_service_tables(root, configuration));
    if (configuration.services.empty())
    {
        return refuse(origin, 1, result_code::config_missing_key,
                      "at least one table [service.NAME] is required");
    }
    BOOST_LEAF_CHECK(check_references(root, configuration));
    complete_nearest(configuration);
    configuration.text = toml;
    return configuration;
}

outcome<operator_configuration>
load_operator_configuration(std::string_view toml, std::string_view origin)
{
    return to_outcome<operator_configuration>(
        [&]
        {
            return parse_operator_configuration(toml, origin);
        });
}

} // namespace masticshift::config
