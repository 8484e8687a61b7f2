#include "report_text.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace masticshift::history_check
{

namespace
{

constexpr std::size_t max_shown_violations = 10;

history::rule_info const& info_of(history::rule_report const& report)
{
    return history::rules().at(static_cast<std::size_t>(report.number) - 1);
}

std::string verdict_of(history::rule_report const& report)
{
    if (!report.violations.empty())
        return "BROKEN";
    if (!history::holds(report))
        return "UNPROVED";
    return report.examined == 0 ? "not examined" : "holds";
}

boost::json::value to_json(history::violation const& found)
{
    return {{"detail", found.detail},
            {"evidence", boost::json::value_from(found.evidence)}};
}

boost::json::value to_json(history::rule_report const& report)
{
    boost::json::array violations;
    for (auto const& found : report.violations)
        violations.push_back(to_json(found));
    return {{"rule", static_cast<unsigned>(report.number)},
            {"name", info_of(report).name},
            {"holds", history::holds(report)},
            {"examined", report.examined},
            {"required", report.required},
            {"violations", std::move(violations)}};
}

} // namespace

std::string to_text(history::rule_report const& report)
{
    std::string text =
        std::to_string(static_cast<unsigned>(report.number)) + " " +
        std::string(info_of(report).name) + ": " + verdict_of(report) + ", " +
        std::to_string(report.examined) + " facts examined, " +
        std::to_string(report.violations.size()) + " violations\n";
    auto const shown = std::min(report.violations.size(), max_shown_violations);
    for (std::size_t i = 0; i < shown; ++i)
    {
        auto const& found = report.violations[i];
        text += "    " + found.detail + "\n";
        for (auto const& place : found.evidence)
            text += "        " + place + "\n";
    }
    if (shown < report.violations.size())
        text += "    and " + std::to_string(report.violations.size() - shown) +
                " more\n";
    return text;
}

boost::json::value to_json(std::vector<history::rule_report> const& reports)
{
    boost::json::array rules;
    for (auto const& report : reports)
        rules.push_back(to_json(report));
    return {{"holds", std::ranges::all_of(reports, history::holds)},
            {"rules", std::move(rules)}};
}

} // namespace masticshift::history_check
