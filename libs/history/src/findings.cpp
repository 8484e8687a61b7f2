#include "findings.hpp"

namespace masticshift::history
{

findings::findings(rule number, recorded_history const& history)
    : history_(history), report_{number}
{
}

void findings::examine(std::size_t facts)
{
    report_.examined += facts;
}

void findings::violate(std::string detail,
                       std::vector<record const*> const& shown)
{
    auto& found = report_.violations.emplace_back();
    found.detail = std::move(detail);
    for (auto const* const entry : shown)
        found.evidence.push_back(describe(history_, *entry));
}

rule_report findings::report() &&
{
    return std::move(report_);
}

} // namespace masticshift::history
