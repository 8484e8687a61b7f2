#ifndef MASTICSHIFT_METRICS_GAUGE_HPP
#define MASTICSHIFT_METRICS_GAUGE_HPP

namespace masticshift::metrics
{

/// A Prometheus gauge: a number that can increase and decrease.
class gauge
{
public:
    void set(double value)
    {
        value_ = value;
    }

    void add(double amount)
    {
        value_ += amount;
    }

    double value() const
    {
        return value_;
    }

private:
    double value_ = 0;
};

} // namespace masticshift::metrics

#endif
