#ifndef MASTICSHIFT_HISTORY_REPORT_BUILDER_HPP
#define MASTICSHIFT_HISTORY_REPORT_BUILDER_HPP

#include <history/checker.hpp>

#include <initializer_list>
#include <string>

namespace masticshift::history
{

/// Builds the report of one rule while its check runs.
class report_builder
{
public:
    report_builder(rule number, recorded_history const& history);

    void add_examined(std::size_t cases = 1);
    void add_violation(std::string detail,
                       std::vector<record const*> const& evidence);

    rule_report build() &&;

private:
    recorded_history const& history_;
    rule_report report_;
};

} // namespace masticshift::history

#endif
