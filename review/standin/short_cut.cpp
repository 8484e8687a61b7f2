// A zone is cut off from the others for a short time while jobs are sent to it.

#include "deployment.hpp"

#include <cstdio>
#include <cstdlib>

namespace
{

using namespace review;

constexpr int usual_cut_ms = 350;
constexpr int filling_jobs = 2;
constexpr int jobs = 3;
constexpr int job_interval_ms = 40;
constexpr int tasks = 4;
constexpr int filling_ms = 900;
constexpr int task_ms = 1'400;

std::string job_id(int number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0x5b000000 + number);
    return id;
}

int run(std::string const& folder, std::string const& program, bool disrupted,
        int cut_ms)
{
    // The threads of the stand-ins use both until the process ends.
    auto& events = *new record(folder + "/record.txt");
    auto& system = *new deployment(folder, program, events);
    system.configure(1, 500, 2);
    system.add_workers("ikeja", 8);
    system.add_workers("apapa", 4);
    for (auto const* zone : {"ikeja", "ikeja", "ikeja", "apapa", "apapa"})
        system.add_entry(zone);
    system.start_entries();
    if (!system.wait_until_ready())
    {
        system.stop();
        return 2;
    }
    auto* const dispatcher = system.dispatcher_of("apapa");
    entry* other = nullptr;
    for (auto* const each : system.entries_of("apapa"))
    {
        if (each != dispatcher)
            other = each;
    }
    int number = 0;
    for (int i = 0; i < filling_jobs; ++i)
        system.submit({job_id(number++), tasks, filling_ms}, {other});
    sleep_ms(filling_ms / 2);
    if (disrupted)
        system.cut_zone("ikeja", cut_ms);
    for (int i = 0; i < jobs; ++i)
    {
        sleep_ms(job_interval_ms);
        system.submit({job_id(number++), tasks, task_ms}, {other, dispatcher});
    }
    system.wait_for_clients();
    sleep_ms(2'000);
    system.stop();
    auto const found = system.concurrent_runs();
    for (auto const& each : found)
        events.add("TWICE " + each);
    std::printf("%zu tasks ran twice at the same time\n", found.size());
    return found.empty() ? 0 : 1;
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 4)
        return 2;
    bool const disrupted = std::string(arguments[3]) == "on";
    auto const cut_ms = count > 4 ? std::atoi(arguments[4]) : usual_cut_ms;
    auto const result = run(arguments[1], arguments[2], disrupted, cut_ms);
    std::fflush(nullptr);
    std::_Exit(result);
}
