#include "text_format.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace masticshift::metrics
{

namespace
{

/// Renders every second bin, which gives five bounds per decade.
constexpr std::size_t rendered_bin_step = 2;

bool is_letter(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || c == '_';
}

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

std::string escape(std::string_view text, bool escape_quotes)
{
    std::string escaped;
    for (char const c : text)
    {
        if (c == '\n')
        {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || (c == '"' && escape_quotes))
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

/// Adds the label `le` with an upper bound.
std::string with_bound(std::string_view label_list, std::string_view bound)
{
    std::string list(label_list);
    if (!list.empty())
        list += ',';
    list += "le=\"";
    list += bound;
    list += '"';
    return list;
}

} // namespace

bool is_valid_name(std::string_view name, bool allow_colon)
{
    if (name.empty() || is_digit(name.front()))
        return false;
    return std::ranges::all_of(name,
                               [allow_colon](char c)
                               {
                                   return is_letter(c) || is_digit(c) ||
                                          (allow_colon && c == ':');
                               });
}

std::string number_text(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    constexpr std::size_t longest_number = 32;
    std::array<char, longest_number> text{};
    auto const end =
        std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

std::string label_text(labels const& labels)
{
    std::string list;
    for (auto const& [name, value] : labels)
    {
        if (!list.empty())
            list += ',';
        list += name + "=\"" + escape(value, true) + '"';
    }
    return list;
}

std::string help_text(std::string_view help)
{
    return escape(help, false);
}

std::string sample_line(std::string_view name, std::string_view label_list,
                        std::string_view value)
{
    std::string line(name);
    if (!label_list.empty())
    {
        line += '{';
        line += label_list;
        line += '}';
    }
    line += ' ';
    line += value;
    line += '\n';
    return line;
}

std::string series_text(std::string_view name, std::string_view label_list,
                        counter const& metric)
{
    return sample_line(name, label_list, std::to_string(metric.value()));
}

std::string series_text(std::string_view name, std::string_view label_list,
                        gauge const& metric)
{
    return sample_line(name, label_list, number_text(metric.value()));
}

std::string series_text(std::string_view name, std::string_view label_list,
                        latency_histogram const& metric)
{
    auto const family = std::string(name);
    std::string text;
    auto const bins = metric.cumulative_bins();
    for (std::size_t i = 0; i < bins.size(); i += rendered_bin_step)
    {
        // Six digits hide the rounding errors of the logarithmic axis.
        std::array<char, 32> bound{};
        auto const end =
            std::to_chars(bound.data(), bound.data() + bound.size(),
                          bins[i].upper_bound_seconds,
                          std::chars_format::general, 6)
                .ptr;
        auto const list = with_bound(label_list, {bound.data(), end});
        text += sample_line(family + "_bucket", list,
                            std::to_string(bins[i].count));
    }
    auto const count = std::to_string(metric.count());
    text +=
        sample_line(family + "_bucket", with_bound(label_list, "+Inf"), count);
    text += sample_line(family + "_sum", label_list, number_text(metric.sum()));
    text += sample_line(family + "_count", label_list, count);
    return text;
}

} // namespace masticshift::metrics
