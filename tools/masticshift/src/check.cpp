#include "commands.hpp"
#include "input_text.hpp"
#include "platform_access.hpp"

#include <config/difference.hpp>
#include <config/review.hpp>
#include <dispatch/configuration_review.hpp>
#include <platform/configuration_codec.hpp>

#include <boost/json/array.hpp>

#include <algorithm>

namespace masticshift::cli
{

namespace
{

namespace json = boost::json;

std::string summary_of(config::operator_configuration const& text)
{
    return std::to_string(text.services.size()) + " services, " +
           std::to_string(text.endpoints.size()) + " endpoints, " +
           std::to_string(text.data_centres.size()) + " data centres";
}

void add_findings(findings const& found, report& result)
{
    json::array rows;
    for (auto const& each : found)
    {
        result.text += std::string(name_of(each.level)) + ": " + each.place +
                       ": " + each.detail + "\n";
        rows.push_back({{"level", name_of(each.level)},
                        {"place", each.place},
                        {"detail", each.detail}});
    }
    result.fields["findings"] = std::move(rows);
    auto const error =
        std::ranges::find(found, finding_level::error, &finding::level);
    if (error == found.end())
        return;
    result.code = result_code::config_contradiction;
    result.detail = error->place + ": " + error->detail;
}

void add_differences(std::vector<config::difference> const& found,
                     std::uint64_t revision, report& result)
{
    json::array rows;
    result.text += std::to_string(found.size()) +
                   " differences from revision " + std::to_string(revision) +
                   "\n";
    for (auto const& each : found)
    {
        result.text +=
            each.place + ": '" + each.from + "' -> '" + each.to + "'\n";
        rows.push_back(
            {{"place", each.place}, {"from", each.from}, {"to", each.to}});
    }
    result.fields["revision"] = revision;
    result.fields["differences"] = std::move(rows);
}

/// Compares with the revision in force. No revision is no failure.
boost::asio::awaitable<outcome<void>>
compare_in_force(session& calls, options const& command_line,
                 config::operator_configuration const& text, report& result)
{
    platform_access access(calls, command_line);
    auto const record = co_await access.store().read_configuration();
    if (!record && record.error().code == result_code::revision_absent)
    {
        add_differences(config::differences({}, text), 0, result);
        co_return outcome<void>{};
    }
    if (!record)
        co_return record.error();
    auto const former = config::load_operator_configuration(
        record->text, "revision " + std::to_string(record->revision));
    if (!former)
        co_return former.error();
    add_differences(config::differences(*former, text), record->revision,
                    result);
    co_return outcome<void>{};
}

/// Whether this is a configuration of the users' platform, which is a JSON
/// object.
bool is_of_users_platform(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && text[first] == '{';
}

report check_of_users_platform(std::string const& path, std::string_view text,
                               options const& command_line)
{
    if (command_line.platform)
        return report_of({result_code::usage,
                          "--platform compares TOML configurations only"});
    auto const settings = platform::decode_configuration(text);
    if (!settings)
        return report_of({result_code::config_syntax,
                          path + ": " + settings.error().detail});
    report result;
    result.text = path + ": version " + std::to_string(settings->version) +
                  ", " + std::to_string(settings->queues.size()) + " queues, " +
                  std::to_string(settings->services.size()) + " services\n";
    result.fields["version"] = settings->version;
    result.fields["queues"] = settings->queues.size();
    result.fields["services"] = settings->services.size();
    add_findings(dispatch::review(*settings), result);
    return result;
}

} // namespace

pending_report run_check(session& calls, options const& command_line)
{
    auto const& path = command_line.arguments[1];
    auto const read = read_input(path);
    if (!read)
        co_return report_of(read.error());
    if (is_of_users_platform(*read))
        co_return check_of_users_platform(path, *read, command_line);
    auto const text = config::load_operator_configuration(*read, path);
    if (!text)
        co_return report_of(text.error());
    report result;
    result.text = path + ": " + summary_of(*text) + "\n";
    result.fields["services"] = text->services.size();
    result.fields["endpoints"] = text->endpoints.size();
    result.fields["data_centres"] = text->data_centres.size();
    add_findings(config::review(*text), result);
    if (command_line.platform)
    {
        auto const compared =
            co_await compare_in_force(calls, command_line, *text, result);
        if (!compared && result.code == result_code::ok)
        {
            result.code = compared.error().code;
            result.detail = compared.error().detail;
        }
    }
    co_return result;
}

} // namespace masticshift::cli
