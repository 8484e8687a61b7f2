#ifndef MASTICSHIFT_HISTORY_CHECK_REPORT_TEXT_HPP
#define MASTICSHIFT_HISTORY_CHECK_REPORT_TEXT_HPP

#include <history/checker.hpp>

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace masticshift::history_check
{

/// One line with the verdict on a rule, followed by the violations with their
/// evidence.
std::string to_text(history::rule_report const& report);

boost::json::value to_json(std::vector<history::rule_report> const& reports);

} // namespace masticshift::history_check

#endif
