#include "report_builder.hpp"

namespace masticshift::history
{

report_builder::report_builder(rule number, recorded_history const& history)
    : history_(history), report_{number}
{
}

void report_builder::add_examined(std::size_t cases)
{
    report_.examined += cases;
}

void report_builder::add_violation(std::string detail,
                                   std::vector<record const*> const& evidence)
{
    auto& found = report_.violations.emplace_back();
    found.detail = std::move(detail);
    for (auto const* const each : evidence)
        found.evidence.push_back(describe(history_, *each));
}

rule_report report_builder::build() &&
{
    return std::move(report_);
}

} // namespace masticshift::history
