#ifndef MASTICSHIFT_LOAD_LINE_CHART_HPP
#define MASTICSHIFT_LOAD_LINE_CHART_HPP

#include <string>
#include <vector>

namespace masticshift::load
{

struct chart_point
{
    double x = 0;
    double y = 0;
};

struct chart_line
{
    std::string name;
    std::vector<chart_point> points;
};

struct chart_axis
{
    std::string name;
    bool is_logarithmic = false;
};

struct line_chart
{
    std::string title;
    chart_axis x;
    chart_axis y;
    std::vector<chart_line> lines;
};

/// Escapes the characters that have a meaning in HTML.
std::string escape_html(std::string const& text);

/// Renders the chart as an SVG element.
std::string to_svg(line_chart const& chart);

} // namespace masticshift::load

#endif
