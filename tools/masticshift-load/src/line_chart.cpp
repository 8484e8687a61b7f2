#include "line_chart.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>

namespace masticshift::load
{

namespace
{

constexpr double width = 720;
constexpr double height = 300;
constexpr double margin = 48;
constexpr unsigned tick_count = 5;
constexpr std::array colours{"#1b6ca8", "#c0392b", "#27864a", "#8e5ea2"};

std::string format(double number)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", number);
    return text.data();
}

/// Maps the values of one axis to a range of coordinates in the picture.
class scale
{
public:
    scale(chart_axis const& axis, double low, double high, double first,
          double last)
        : is_logarithmic_(axis.is_logarithmic),
          low_(transform(low)),
          high_(transform(high)),
          first_(first),
          last_(last)
    {
        if (high_ <= low_)
            high_ = low_ + 1;
    }

    double position(double value) const
    {
        auto const fraction = (transform(value) - low_) / (high_ - low_);
        return first_ + fraction * (last_ - first_);
    }

    double value_at(double fraction) const
    {
        auto const value = low_ + fraction * (high_ - low_);
        return is_logarithmic_ ? std::pow(10, value) : value;
    }

private:
    double transform(double value) const
    {
        constexpr double min_value = 1e-9;
        return is_logarithmic_ ? std::log10(std::max(value, min_value)) : value;
    }

    bool is_logarithmic_;
    double low_;
    double high_;
    double first_;
    double last_;
};

scale make_scale(line_chart const& chart, chart_axis const& axis,
                 double chart_point::*coordinate, double first, double last)
{
    double low = std::numeric_limits<double>::max();
    double high = std::numeric_limits<double>::lowest();
    for (auto const& line : chart.lines)
    {
        for (auto const& point : line.points)
        {
            low = std::min(low, point.*coordinate);
            high = std::max(high, point.*coordinate);
        }
    }
    if (low > high)
        low = high = 1;
    return {axis, axis.is_logarithmic ? low : std::min(low, 0.0), high, first,
            last};
}

std::string text_at(double x, double y, std::string const& attributes,
                    std::string const& text)
{
    return "<text x=\"" + format(x) + "\" y=\"" + format(y) + "\" " +
           attributes + ">" + escape_html(text) + "</text>\n";
}

std::string ticks(scale const& x, scale const& y)
{
    std::string svg;
    for (unsigned i = 0; i < tick_count; ++i)
    {
        double const fraction = static_cast<double>(i) / (tick_count - 1);
        double const x_value = x.value_at(fraction);
        double const y_value = y.value_at(fraction);
        svg += text_at(x.position(x_value), height - margin + 16,
                       "text-anchor=\"middle\"", format(x_value));
        svg += text_at(margin - 4, y.position(y_value) + 4,
                       "text-anchor=\"end\"", format(y_value));
        svg += "<line class=\"grid\" x1=\"" + format(margin) + "\" x2=\"" +
               format(width - margin) + "\" y1=\"" +
               format(y.position(y_value)) + "\" y2=\"" +
               format(y.position(y_value)) + "\"/>\n";
    }
    return svg;
}

std::string polyline(chart_line const& line, scale const& x, scale const& y,
                     std::string const& colour)
{
    std::string svg = "<polyline stroke=\"" + colour + "\" points=\"";
    for (auto const& point : line.points)
        svg += format(x.position(point.x)) + "," + format(y.position(point.y)) +
               " ";
    return svg + "\"/>\n";
}

} // namespace

std::string escape_html(std::string const& text)
{
    std::string escaped;
    for (char const c : text)
    {
        if (c == '<')
            escaped += "&lt;";
        else if (c == '&')
            escaped += "&amp;";
        else if (c == '"')
            escaped += "&quot;";
        else
            escaped += c;
    }
    return escaped;
}

std::string to_svg(line_chart const& chart)
{
    auto const x =
        make_scale(chart, chart.x, &chart_point::x, margin, width - margin);
    auto const y =
        make_scale(chart, chart.y, &chart_point::y, height - margin, margin);
    std::string svg = "<svg viewBox=\"0 0 " + format(width) + " " +
                      format(height) + "\" role=\"img\">\n";
    svg += text_at(margin, 20, "class=\"title\"", chart.title);
    svg +=
        text_at(width / 2, height - 8, "text-anchor=\"middle\"", chart.x.name);
    svg += text_at(margin, 38, "", chart.y.name);
    svg += ticks(x, y);
    for (std::size_t i = 0; i < chart.lines.size(); ++i)
    {
        std::string const colour = colours.at(i % colours.size());
        svg += polyline(chart.lines[i], x, y, colour);
        svg += text_at(width - margin, 20 + 14 * static_cast<double>(i),
                       "text-anchor=\"end\" fill=\"" + colour + "\"",
                       chart.lines[i].name);
    }
    return svg + "</svg>\n";
}

} // namespace masticshift::load
