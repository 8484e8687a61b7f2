#include "sample_text.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace capacity
{

namespace
{

using namespace masticshift;

constexpr unsigned data_centres = 7;
constexpr unsigned queue_limit = 1'000'000;

std::string centre_name(unsigned number)
{
    return "dc" + std::to_string(number % data_centres);
}

std::string endpoint_name(unsigned number)
{
    return "endpoint-" + std::to_string(number);
}

std::string endpoint_toml(unsigned number, unsigned slots)
{
    return "[endpoint." + endpoint_name(number) + "]\naddress = \"10.1." +
           std::to_string(number / 200) + "." +
           std::to_string(10 + number % 200) + ":9101\"\ndata_centre = \"" +
           centre_name(number) + "\"\nslots = " + std::to_string(slots) +
           "\nconnections = 64\nmemory_mb = 4096\n";
}

std::string service_toml(unsigned number, unsigned endpoints)
{
    std::string toml =
        "[service.service" + std::to_string(number) + "]\nendpoints = [";
    for (unsigned i = 0; i < endpoints; ++i)
        toml += "\"" + endpoint_name(i) + "\", ";
    return toml + "]\nrun_time_ms = 100\n";
}

std::string entry_address(unsigned number)
{
    return "10.2.0." + std::to_string(number + 1) + ":8201";
}

} // namespace

std::string make_toml(text_shape shape)
{
    std::string toml;
    for (unsigned i = 0; i < data_centres; ++i)
        toml += "[data_centre." + centre_name(i) + "]\nregion = \"north\"\n";
    for (unsigned i = 0; i < shape.endpoints; ++i)
        toml += endpoint_toml(i, shape.slots);
    for (unsigned i = 0; i < shape.services; ++i)
        toml += service_toml(i, shape.endpoints);
    return toml;
}

config::operator_configuration make_text(text_shape shape)
{
    auto text = config::load_operator_configuration(make_toml(shape), "sample");
    if (!text)
    {
        std::fprintf(stderr, "%s\n", text.error().detail.c_str());
        std::exit(EXIT_FAILURE);
    }
    for (auto& [name, service] : text->services)
        service.queue_limit = queue_limit;
    return *std::move(text);
}

placement::any_engine make_engine()
{
    placement::engine_settings settings;
    settings.address = entry_address(0);
    settings.data_centre = centre_name(0);
    return *placement::make_engine("lending", settings);
}

std::vector<placement::live_entry> make_entries(unsigned count)
{
    std::vector<placement::live_entry> entries(count);
    for (unsigned i = 0; i < count; ++i)
    {
        entries[i].address = entry_address(i);
        entries[i].data_centre = centre_name(i);
        for (int service = 0; service < 3; ++service)
        {
            entries[i].loads.push_back(
                {"service" + std::to_string(service), 0, 0});
        }
    }
    return entries;
}

placement::job_request make_job(std::uint64_t number, unsigned tasks,
                                time_point now)
{
    placement::job_request job;
    job.job = number;
    job.service = "service0";
    job.sizes.assign(tasks, 1.0F);
    job.deadline = now + std::chrono::hours(1);
    return job;
}

time_point start_time()
{
    return time_point{std::chrono::hours(1)};
}

} // namespace capacity
