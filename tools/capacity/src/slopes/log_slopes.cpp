#include "measurements.hpp"
#include "resource_use.hpp"
#include "slope_report.hpp"

#include <core/log.hpp>

namespace capacity
{

namespace
{

using namespace masticshift;

void log_lines(unsigned count)
{
    for (unsigned i = 0; i < count; ++i)
    {
        boost::json::object fields;
        fields["task"] = "10.2.0.1:8201~1796367079957675~12.nonce/3/1";
        fields["endpoint"] = "10.1.0.10:9101";
        fields["slot"] = i % 8;
        fields["borrowed"] = false;
        fields["reason"] = "fastest_free";
        log_event(log_level::info, "task_started", std::move(fields));
    }
}

} // namespace

void measure_log()
{
    configure_log({"10.2.0.1:8201", "/dev/null", log_level::info});
    measurement lines{"log lines of a placement", "us", "lines", {}};
    for (unsigned const count : {2'000U, 8'000U, 32'000U})
    {
        auto const taken = processor_microseconds(
            [&]
            {
                log_lines(count);
            });
        lines.samples.push_back({double(count), taken});
    }
    print(lines);
}

} // namespace capacity
