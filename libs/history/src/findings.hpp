#ifndef MASTICSHIFT_HISTORY_FINDINGS_HPP
#define MASTICSHIFT_HISTORY_FINDINGS_HPP

#include <history/checker.hpp>

#include <initializer_list>
#include <string>

namespace masticshift::history
{

/// Collects what the check of one rule finds.
class findings
{
public:
    findings(rule number, recorded_history const& history);

    void examine(std::size_t facts = 1);
    void violate(std::string detail, std::vector<record const*> const& shown);

    rule_report report() &&;

private:
    recorded_history const& history_;
    rule_report report_;
};

} // namespace masticshift::history

#endif
