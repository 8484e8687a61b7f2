#include "commands.hpp"
#include "platform_access.hpp"

namespace masticshift::cli
{

namespace
{

pending_report show_revision(platform_access& access)
{
    auto const revision = co_await access.store().read_revision();
    if (!revision)
        co_return report_of(revision.error());
    report result;
    result.text = std::to_string(*revision) + "\n";
    result.fields["revision"] = *revision;
    co_return result;
}

} // namespace

pending_report run_show(session& calls, options const& command_line)
{
    platform_access access(calls, command_line);
    if (command_line.revision_only)
        co_return co_await show_revision(access);
    auto const record = co_await access.store().read_configuration();
    if (!record)
        co_return report_of(record.error());
    report result;
    result.text = record->text;
    result.fields["revision"] = record->revision;
    result.fields["change_id"] = record->changes.back().change_id;
    result.fields["text"] = record->text;
    co_return result;
}

} // namespace masticshift::cli
