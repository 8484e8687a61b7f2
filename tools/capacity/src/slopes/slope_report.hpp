#ifndef MASTICSHIFT_CAPACITY_SLOPE_REPORT_HPP
#define MASTICSHIFT_CAPACITY_SLOPE_REPORT_HPP

#include <string>
#include <vector>

namespace capacity
{

/// What was measured at one size.
struct sample
{
    double size = 0;
    double value = 0;
};

/// One measured quantity at several sizes.
struct measurement
{
    std::string quantity;
    /// Of the values, for example "bytes".
    std::string unit;
    /// What the sizes count, for example "endpoints".
    std::string size_of;
    std::vector<sample> samples;
};

/// The straight line of least squares through samples.
struct fitted_line
{
    double slope = 0;
    double base = 0;
};

fitted_line fit_line(std::vector<sample> const& samples);

/// Prints a measurement as rows of a table, then as one JSON line.
void print(measurement const& measured);

} // namespace capacity

#endif
