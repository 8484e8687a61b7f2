#include <metrics/registry.hpp>

#include "text_format.hpp"

#include <array>
#include <map>
#include <stdexcept>
#include <variant>

namespace masticshift::metrics
{

namespace
{

using metric = std::variant<counter, gauge, latency_histogram>;

/// Prometheus names of the types, in the order of the alternatives of `metric`.
constexpr std::array<std::string_view, 3> type_names{"counter", "gauge",
                                                     "histogram"};

/// All metrics of one name, by their labels.
struct family
{
    std::string help;
    std::size_t type = 0;
    std::map<std::string, metric, std::less<>> series;
};

void check_labels(labels const& labels)
{
    for (auto const& label : labels)
    {
        if (!is_valid_name(label.name, false) || label.name == "le")
            throw std::logic_error("malformed label name " + label.name);
    }
}

std::string header_text(std::string_view name, family const& family)
{
    std::string text = "# HELP ";
    text += name;
    text += ' ' + help_text(family.help) + "\n# TYPE ";
    text += name;
    text += ' ';
    text += type_names.at(family.type);
    text += '\n';
    return text;
}

std::string metric_text(std::string_view name, std::string_view label_list,
                        metric const& metric)
{
    auto const render = [name, label_list](auto const& value)
    {
        return series_text(name, label_list, value);
    };
    return std::visit(render, metric);
}

} // namespace

class registry::impl
{
public:
    template <class Metric>
    Metric& get(std::string_view name, std::string_view help,
                labels const& labels)
    {
        check_labels(labels);
        auto const type = metric(std::in_place_type<Metric>).index();
        auto& series = family_of(name, help, type).series;
        auto const added =
            series.try_emplace(label_text(labels), std::in_place_type<Metric>);
        return std::get<Metric>(added.first->second);
    }

    std::string render() const
    {
        std::string text;
        for (auto const& [name, family] : families_)
        {
            text += header_text(name, family);
            for (auto const& [label_list, metric] : family.series)
                text += metric_text(name, label_list, metric);
        }
        return text;
    }

private:
    family& family_of(std::string_view name, std::string_view help,
                      std::size_t type)
    {
        if (!is_valid_name(name, true))
            throw std::logic_error("malformed metric name " +
                                   std::string(name));
        auto found = families_.find(name);
        if (found == families_.end())
        {
            found = families_.emplace(name, family{std::string(help), type, {}})
                        .first;
        }
        if (found->second.type != type)
            throw std::logic_error(
                "the same name is used for two types of metric: " +
                std::string(name));
        return found->second;
    }

    std::map<std::string, family, std::less<>> families_;
};

registry::registry() : impl_(std::make_unique<impl>())
{
}

registry::~registry() = default;

counter& registry::get_counter(std::string_view name, std::string_view help,
                               labels const& labels)
{
    return impl_->get<counter>(name, help, labels);
}

gauge& registry::get_gauge(std::string_view name, std::string_view help,
                           labels const& labels)
{
    return impl_->get<gauge>(name, help, labels);
}

latency_histogram& registry::get_histogram(std::string_view name,
                                           std::string_view help,
                                           labels const& labels)
{
    return impl_->get<latency_histogram>(name, help, labels);
}

std::string registry::render() const
{
    return impl_->render();
}

} // namespace masticshift::metrics
