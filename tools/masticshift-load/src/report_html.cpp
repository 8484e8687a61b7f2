#include "report_html.hpp"

#include "line_chart.hpp"
#include "report_json.hpp"

#include <boost/json.hpp>

namespace masticshift::load
{

namespace
{

namespace json = boost::json;

constexpr std::string_view style =
    "body{font:14px sans-serif;max-width:60em;margin:2em auto}"
    "table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}"
    "svg{width:100%;font:11px sans-serif}"
    "svg .title{font-weight:bold}svg .grid{stroke:#ddd}"
    "svg polyline{fill:none;stroke-width:1.5}";

constexpr std::array quantile_names{"count", "mean", "p50", "p90",
                                    "p99",   "p999", "max"};
constexpr std::array distribution_names{"response_ms", "slowdown", "added_ms",
                                        "send_lag_ms"};

std::string cell(json::value const& value)
{
    if (!value.is_double())
        return "<td>" + escape_html(json::serialize(value)) + "</td>";
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value.get_double());
    return std::string("<td>") + text.data() + "</td>";
}

std::string distribution_table(json::object const& report)
{
    std::string html = "<table><tr><th></th>";
    for (std::string const column : quantile_names)
        html += "<th>" + column + "</th>";
    html += "</tr>\n";
    for (std::string const name : distribution_names)
    {
        html += "<tr><th>" + name + "</th>";
        for (auto const* const column : quantile_names)
            html += cell(report.at(name).at(column));
        html += "</tr>\n";
    }
    return html + "</table>\n";
}

std::string object_table(std::string const& heading, json::value const& value)
{
    std::string html = "<h2>" + heading + "</h2>\n<table>\n";
    for (auto const& field : value.as_object())
    {
        html += "<tr><th>" + escape_html(std::string(field.key())) + "</th>" +
                cell(field.value()) + "</tr>\n";
    }
    return html + "</table>\n";
}

line_chart slowdown_chart(load_results const& results)
{
    chart_line line{"", {}};
    double cumulative_count = 0;
    auto const count = static_cast<double>(results.slowdown.count());
    for (auto const& bin : results.slowdown.bins())
    {
        cumulative_count += static_cast<double>(bin.count);
        line.points.push_back({bin.to, cumulative_count / count});
    }
    return {"Response time divided by the ideal response time",
            {"slowdown", true},
            {"fraction of the jobs", false},
            {std::move(line)}};
}

line_chart time_chart(load_results const& results)
{
    chart_line mean{"mean", {}};
    chart_line max{"max", {}};
    for (std::size_t i = 0; i < results.seconds.size(); ++i)
    {
        auto const& row = results.seconds[i];
        if (row.ok == 0)
            continue;
        auto const at = static_cast<double>(i);
        mean.points.push_back(
            {at, row.slowdown_sum / static_cast<double>(row.ok)});
        max.points.push_back({at, row.slowdown_max});
    }
    return {"Slowdown of the jobs due in each second",
            {"seconds", false},
            {"slowdown", true},
            {std::move(mean), std::move(max)}};
}

line_chart rate_chart(load_results const& results)
{
    chart_line due{"due", {}};
    chart_line ok{"answered ok", {}};
    for (std::size_t i = 0; i + 1 < results.seconds.size(); ++i)
    {
        auto const at = static_cast<double>(i);
        due.points.push_back({at, static_cast<double>(results.seconds[i].due)});
        ok.points.push_back({at, static_cast<double>(results.seconds[i].ok)});
    }
    return {"Jobs due in each second",
            {"seconds", false},
            {"jobs", false},
            {std::move(due), std::move(ok)}};
}

} // namespace

std::string to_html(load_results const& results, std::string const& title)
{
    auto const report = to_json(results);
    std::string html = "<!DOCTYPE html>\n<html lang=\"en\"><head>"
                       "<meta charset=\"utf-8\"><title>" +
                       escape_html(title) + "</title><style>";
    html += style;
    html += "</style></head><body>\n<h1>" + escape_html(title) + "</h1>\n";
    html += distribution_table(report);
    html += to_svg(slowdown_chart(results));
    html += to_svg(time_chart(results));
    html += to_svg(rate_chart(results));
    html += object_table("Load", report.at("load"));
    html += object_table("Jobs", report.at("jobs"));
    html += object_table("Messages", report.at("messages"));
    return html + "</body></html>\n";
}

} // namespace masticshift::load
