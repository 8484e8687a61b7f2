#ifndef MASTICSHIFT_PLACEMENT_TESTS_FIXTURE_HPP
#define MASTICSHIFT_PLACEMENT_TESTS_FIXTURE_HPP

#include <placement/any_engine.hpp>

#include <string>
#include <vector>

namespace masticshift::placement::testing
{

inline time_point at_ms(double ms)
{
    using floating = std::chrono::duration<double, std::milli>;
    auto const start = time_point{} + std::chrono::hours(1);
    return start + std::chrono::duration_cast<duration>(floating(ms));
}

inline std::string endpoint_name(unsigned number)
{
    return "e" + std::to_string(number);
}

/// A configuration with one service, "s", on `count` endpoints of data centre
/// "dc".
inline config::operator_configuration text_of(unsigned count,
                                              unsigned slots = 8)
{
    config::operator_configuration text;
    text.data_centres["dc"] = {"dc", "region", {}};
    config::service_config service;
    service.name = "s";
    service.run_time = milliseconds(100);
    for (unsigned i = 0; i < count; ++i)
    {
        config::endpoint_config endpoint;
        endpoint.name = endpoint_name(i);
        endpoint.ip = "10.0.0.1";
        endpoint.port = static_cast<std::uint16_t>(7'000 + i);
        endpoint.data_centre = "dc";
        endpoint.slots = slots;
        text.endpoints[endpoint.name] = endpoint;
        service.endpoints.push_back(endpoint.name);
    }
    text.services["s"] = service;
    return text;
}

inline engine_settings settings_of(std::string address = "10.0.0.9:1")
{
    engine_settings settings;
    settings.address = std::move(address);
    settings.data_centre = "dc";
    return settings;
}

inline live_entry view_of(std::string address, std::string centre = "dc")
{
    live_entry view;
    view.address = std::move(address);
    view.data_centre = std::move(centre);
    return view;
}

inline job_request job_of(std::uint64_t job, std::vector<float> sizes)
{
    job_request request;
    request.job = job;
    request.service = "s";
    request.sizes = std::move(sizes);
    request.deadline = at_ms(3'600'000);
    return request;
}

} // namespace masticshift::placement::testing

#endif
