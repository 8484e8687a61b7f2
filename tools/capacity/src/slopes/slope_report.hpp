#ifndef MASTICSHIFT_CAPACITY_SLOPE_REPORT_HPP
#define MASTICSHIFT_CAPACITY_SLOPE_REPORT_HPP

#include <string>
#include <vector>

namespace capacity
{

/// The value measured at one size.
struct sample
{
    double size = 0;
    double value = 0;
};

/// One measured quantity at several sizes.
struct measurement
{
    std::string quantity;
    /// Unit of the values, for example "bytes".
    std::string unit;
    /// What the sizes count, for example "endpoints".
    std::string size_of;
    std::vector<sample> samples;
};

/// Least-squares line through the samples: value = base + slope * size.
struct fitted_line
{
    double slope = 0;
    double base = 0;
};

fitted_line fit_line(std::vector<sample> const& samples);

/// Prints a measurement as table rows, then with its fitted line as one line of
/// JSON.
void print(measurement const& measured);

} // namespace capacity

#endif
