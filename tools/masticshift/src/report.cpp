#include "report.hpp"

#include <boost/json/serialize.hpp>

#include <cstdio>

namespace masticshift::cli
{

namespace
{

void print_json(report const& result)
{
    auto object = result.fields;
    object["code"] = static_cast<int>(result.code);
    object["name"] = name_of(result.code);
    if (!result.detail.empty())
        object["detail"] = result.detail;
    if (result.code != result_code::ok)
        object["advice"] = info_of(result.code).advice;
    std::printf("%s\n", boost::json::serialize(object).c_str());
}

void print_error(report const& result)
{
    auto const& info = info_of(result.code);
    std::fprintf(stderr, "masticshift: %s (%d): %s\n%s\n",
                 std::string(info.name).c_str(), static_cast<int>(result.code),
                 result.detail.c_str(), std::string(info.advice).c_str());
}

} // namespace

report report_of(failure const& error)
{
    report result;
    result.code = error.code;
    result.detail = error.detail;
    return result;
}

int print_report(report const& result, bool json)
{
    if (json)
        print_json(result);
    else
        std::fputs(result.text.c_str(), stdout);
    if (!json && result.code != result_code::ok)
        print_error(result);
    return exit_code_of(result.code);
}

} // namespace masticshift::cli
