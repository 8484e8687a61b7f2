#include "slope_report.hpp"

#include <boost/json.hpp>

#include <cstdio>

namespace capacity
{

fitted_line fit_line(std::vector<sample> const& samples)
{
    auto const count = static_cast<double>(samples.size());
    double size_sum = 0;
    double value_sum = 0;
    for (auto const& one : samples)
    {
        size_sum += one.size;
        value_sum += one.value;
    }
    double const mean_size = size_sum / count;
    double const mean_value = value_sum / count;
    double covariance = 0;
    double variance = 0;
    for (auto const& one : samples)
    {
        covariance += (one.size - mean_size) * (one.value - mean_value);
        variance += (one.size - mean_size) * (one.size - mean_size);
    }
    double const slope = covariance / variance;
    return {slope, mean_value - slope * mean_size};
}

void print(measurement const& measured)
{
    auto const line = fit_line(measured.samples);
    boost::json::array sizes;
    boost::json::array values;
    for (auto const& one : measured.samples)
    {
        std::printf("%-38s %10.0f %-16s %14.2f %s\n", measured.quantity.c_str(),
                    one.size, measured.size_of.c_str(), one.value,
                    measured.unit.c_str());
        sizes.emplace_back(one.size);
        values.emplace_back(one.value);
    }
    boost::json::object row;
    row["quantity"] = measured.quantity;
    row["unit"] = measured.unit;
    row["size_of"] = measured.size_of;
    row["sizes"] = std::move(sizes);
    row["values"] = std::move(values);
    row["slope"] = line.slope;
    row["base"] = line.base;
    std::printf("%s\n", boost::json::serialize(row).c_str());
}

} // namespace capacity
