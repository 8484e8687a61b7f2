#include "checked_text.hpp"
#include "commands.hpp"

namespace masticshift::cli
{

namespace
{

std::string summary_of(config::operator_configuration const& text)
{
    return std::to_string(text.services.size()) + " services, " +
           std::to_string(text.endpoints.size()) + " endpoints, " +
           std::to_string(text.data_centres.size()) + " data centres";
}

} // namespace

pending_report run_check(session&, options const& command_line)
{
    auto const& path = command_line.arguments[1];
    auto const text = load_checked_text(path);
    if (!text)
        co_return report_of(text.error());
    report result;
    result.text = path + ": " + summary_of(*text) + "\n";
    result.fields["services"] = text->services.size();
    result.fields["endpoints"] = text->endpoints.size();
    result.fields["data_centres"] = text->data_centres.size();
    co_return result;
}

} // namespace masticshift::cli
