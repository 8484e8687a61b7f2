#include "measurements.hpp"
#include "resource_use.hpp"
#include "sample_text.hpp"
#include "slope_report.hpp"

namespace capacity
{

namespace
{

using namespace masticshift;

constexpr int repetitions = 5;
constexpr int view_repetitions = 200;
constexpr unsigned full_size_endpoints = 790;

double microseconds_to_parse(std::string const& toml)
{
    auto const taken = processor_microseconds(
        [&]
        {
            for (int i = 0; i < repetitions; ++i)
                config::load_operator_configuration(toml, "sample").has_value();
        });
    return taken / repetitions;
}

/// Time to replace a configuration by an equal one.
double microseconds_to_configure(config::operator_configuration const& text)
{
    auto engine = make_engine();
    engine.configure(text, start_time());
    engine.set_entries(make_entries(56), start_time());
    auto const taken = processor_microseconds(
        [&]
        {
            for (int i = 0; i < repetitions; ++i)
                engine.configure(text, start_time());
        });
    return taken / repetitions;
}

double bytes_of_text(text_shape shape)
{
    auto const before = heap_bytes();
    auto const text = make_text(shape);
    return heap_bytes() - before;
}

/// Time to process a changed list of entries: one entry is lost and returns
/// alternately.
double microseconds_for_change(unsigned entries)
{
    auto engine = make_engine();
    engine.configure(make_text({full_size_endpoints, 8, 10}), start_time());
    auto const taken = processor_microseconds(
        [&]
        {
            for (int i = 0; i < view_repetitions; ++i)
                engine.set_entries(make_entries(entries - unsigned(i % 2)),
                                   start_time());
        });
    return taken / view_repetitions;
}

/// Time to process an unchanged list of entries.
double microseconds_for_same_view(unsigned entries)
{
    auto engine = make_engine();
    engine.configure(make_text({full_size_endpoints, 8, 10}), start_time());
    auto const view = make_entries(entries);
    engine.set_entries(view, start_time());
    auto const taken = processor_microseconds(
        [&]
        {
            for (int i = 0; i < view_repetitions; ++i)
                engine.set_entries(view, start_time());
        });
    return taken / view_repetitions;
}

void measure_texts(char const* label, char const* size_of,
                   std::vector<text_shape> const& shapes, bool by_services)
{
    std::string const name = label;
    measurement length{"text, " + name, "bytes", size_of, {}};
    measurement heap{"parsed text, " + name, "bytes", size_of, {}};
    measurement parse{"parsing a revision, " + name, "us", size_of, {}};
    measurement configure{"configuring placement, " + name, "us", size_of, {}};
    for (auto const& shape : shapes)
    {
        double const size = by_services ? shape.services : shape.endpoints;
        auto const toml = make_toml(shape);
        length.samples.push_back({size, double(toml.size())});
        heap.samples.push_back({size, bytes_of_text(shape)});
        parse.samples.push_back({size, microseconds_to_parse(toml)});
        configure.samples.push_back(
            {size, microseconds_to_configure(make_text(shape))});
    }
    print(length);
    print(heap);
    print(parse);
    print(configure);
}

} // namespace

void measure_revisions()
{
    measure_texts("10 services", "endpoints",
                  {{48, 8, 10}, {200, 8, 10}, {400, 8, 10}, {790, 8, 10}},
                  false);
    measure_texts("790 endpoints", "services",
                  {{790, 8, 1}, {790, 8, 10}, {790, 8, 30}, {790, 8, 60}},
                  true);
    measurement same{"heartbeat's view, unchanged", "us", "entries", {}};
    measurement change{"an entry lost or back", "us", "entries", {}};
    for (unsigned const entries : {8U, 32U, 56U, 128U})
    {
        auto const size = static_cast<double>(entries);
        same.samples.push_back({size, microseconds_for_same_view(entries)});
        change.samples.push_back({size, microseconds_for_change(entries)});
    }
    print(same);
    print(change);
}

} // namespace capacity
