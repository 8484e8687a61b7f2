#ifndef MASTICSHIFT_CLI_REPORT_HPP
#define MASTICSHIFT_CLI_REPORT_HPP

#include <core/outcome.hpp>

#include <boost/json/object.hpp>

#include <string>

namespace masticshift::cli
{

/// The result of a command.
struct report
{
    result_code code = result_code::ok;
    /// The cause, when the code is not `ok`.
    std::string detail;
    /// Human-readable output, printed without `--json`.
    std::string text;
    /// Fields of the JSON object that is printed with `--json`.
    boost::json::object fields;
};

report report_of(failure const& error);

/// Prints a report and returns the exit code.
int print_report(report const& result, bool json);

} // namespace masticshift::cli

#endif
