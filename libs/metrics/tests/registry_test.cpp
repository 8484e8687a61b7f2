#include <metrics/registry.hpp>

#include <doctest/doctest.h>

#include <sstream>
#include <stdexcept>

using namespace masticshift;
using namespace masticshift::metrics;

TEST_CASE("counters and gauges render with escaped labels and help")
{
    registry metrics;
    metrics
        .get_counter("jobs_total", "Jobs\nby \\ code",
                     {{"code", "a\"b\\c\nd"}, {"service", "orderdesk"}})
        .add(3);
    metrics.get_counter("jobs_total", "", {}).add();
    metrics.get_gauge("idle", "Idle slots").set(-0.5);
    CHECK(metrics.render() == "# HELP idle Idle slots\n"
                              "# TYPE idle gauge\n"
                              "idle -0.5\n"
                              "# HELP jobs_total Jobs\\nby \\\\ code\n"
                              "# TYPE jobs_total counter\n"
                              "jobs_total 1\n"
                              "jobs_total{code=\"a\\\"b\\\\c\\nd\","
                              "service=\"orderdesk\"} 3\n");
}

TEST_CASE(
    "requests with the same name and labels return the same valid reference")
{
    registry metrics;
    auto& first = metrics.get_counter("c", "", {{"n", "0"}});
    for (int i = 1; i < 1'000; ++i)
        metrics.get_counter("c", "", {{"n", std::to_string(i)}});
    first.add(7);
    CHECK(metrics.get_counter("c", "", {{"n", "0"}}).value() == 7);
}

TEST_CASE("malformed names and two types for one name are refused")
{
    registry metrics;
    metrics.get_counter("c", "");
    CHECK_THROWS_AS(metrics.get_gauge("c", ""), std::logic_error);
    CHECK_THROWS_AS(metrics.get_gauge("0c", ""), std::logic_error);
    CHECK_THROWS_AS(metrics.get_gauge("a b", ""), std::logic_error);
    CHECK_THROWS_AS(metrics.get_gauge("g", "", {{"a-b", ""}}),
                    std::logic_error);
}

TEST_CASE("histograms render cumulative buckets, sum and count")
{
    registry metrics;
    auto& latency =
        metrics.get_histogram("latency_seconds", "Latency", {{"a", "b"}});
    latency.observe(std::chrono::microseconds{10});
    latency.observe(std::chrono::milliseconds{50});
    latency.observe(std::chrono::seconds{2});
    latency.observe(std::chrono::seconds{500});
    auto const text = metrics.render();
    std::istringstream lines(text);
    std::string line;
    std::uint64_t last = 0;
    int buckets = 0;
    while (std::getline(lines, line))
    {
        if (line.find("_bucket{a=\"b\",le=\"") == std::string::npos)
            continue;
        auto const count = std::stoull(line.substr(line.rfind(' ')));
        CHECK(count >= last);
        last = count;
        ++buckets;
    }
    CHECK(buckets == 32);
    auto const has = [&text](std::string const& part)
    {
        return text.find(part + "\n") != std::string::npos;
    };
    CHECK(has("latency_seconds_bucket{a=\"b\",le=\"0.0001\"} 1"));
    CHECK(has("latency_seconds_bucket{a=\"b\",le=\"0.1\"} 2"));
    CHECK(has("latency_seconds_bucket{a=\"b\",le=\"100\"} 3"));
    CHECK(has("latency_seconds_bucket{a=\"b\",le=\"+Inf\"} 4"));
    CHECK(has("latency_seconds_sum{a=\"b\"} 502.05001"));
    CHECK(has("latency_seconds_count{a=\"b\"} 4"));
}

TEST_CASE("quantiles are accurate to the width of their bin")
{
    latency_histogram latency;
    CHECK_FALSE(latency.quantile(0.5).has_value());
    for (int i = 1; i <= 1'000; ++i)
        latency.observe(std::chrono::milliseconds{i});
    constexpr double bin_factor = 1.26;
    for (auto const part : {0.1, 0.5, 0.99, 1.0})
    {
        auto const found = to_milliseconds(*latency.quantile(part));
        CHECK(found <= part * 1'000 * bin_factor);
        CHECK(found >= part * 1'000 / bin_factor);
    }
    latency.observe(std::chrono::seconds{-1});
    CHECK(to_milliseconds(*latency.quantile(0)) == 0);
    latency_histogram slow;
    slow.observe(std::chrono::seconds{1'000});
    CHECK(to_milliseconds(*slow.quantile(0.5)) == 100'000);
}
