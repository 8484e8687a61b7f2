#include "checked_text.hpp"
#include "commands.hpp"
#include "platform_access.hpp"
#include "random_id.hpp"

namespace masticshift::cli
{

namespace
{

report report_of_apply(store::apply_answer const& answer,
                       std::string const& change_id)
{
    report result;
    result.code = answer.code;
    result.detail = answer.detail;
    result.fields["change_id"] = change_id;
    if (answer.revision > 0)
        result.fields["revision"] = answer.revision;
    if (answer.code == result_code::ok)
    {
        result.text =
            "applied as revision " + std::to_string(answer.revision) + "\n";
    }
    if (answer.code == result_code::write_unsettled)
        result.detail += "; to settle it repeat with --change_id " + change_id;
    return result;
}

} // namespace

pending_report run_apply(session& calls, options const& command_line)
{
    auto const text = load_checked_text(command_line.arguments[1]);
    if (!text)
        co_return report_of(text.error());
    store::configuration_change change;
    change.change_id =
        command_line.change_id.empty() ? random_id() : command_line.change_id;
    change.text = text->text;
    platform_access access(calls, command_line);
    auto const answer =
        co_await access.store().apply(change, command_line.expected_revision);
    co_return report_of_apply(answer, change.change_id);
}

} // namespace masticshift::cli
