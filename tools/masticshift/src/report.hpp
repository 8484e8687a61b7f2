#ifndef MASTICSHIFT_CLI_REPORT_HPP
#define MASTICSHIFT_CLI_REPORT_HPP

#include <core/outcome.hpp>

#include <boost/json/object.hpp>

#include <string>

namespace masticshift::cli
{

/// What a command came to.
struct report
{
    result_code code = result_code::ok;
    /// The cause, where the code is not `ok`.
    std::string detail;
    /// For people, on standard output.
    std::string text;
    /// For programs, with `--json`.
    boost::json::object fields;
};

report report_of(failure const& error);

/// Prints a report and gives the exit code.
int print_report(report const& result, bool json);

} // namespace masticshift::cli

#endif
