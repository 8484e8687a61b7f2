// Workers crash and start again under their ids as workers of another kind.

#include "deployment.hpp"

#include <cstdio>
#include <cstdlib>

namespace
{

using namespace review;

constexpr std::size_t workers = 8;
constexpr int crashes = 4;
constexpr int down_ms = 1'000;
constexpr int pause_ms = 3'000;
constexpr int job_interval_ms = 25;
constexpr int task_ms = 300;

std::string job_id(int number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0x5c000000 + number);
    return id;
}

int run(std::string const& folder, std::string const& program, bool disrupted)
{
    // The threads of the stand-ins use both until the process ends.
    auto& events = *new record(folder + "/record.txt");
    auto& system = *new deployment(folder, program, events);
    system.configure(1, 500, 2);
    system.add_workers("ikeja", workers);
    for (auto const* zone : {"ikeja", "ikeja"})
        system.add_entry(zone);
    system.start_entries();
    if (!system.wait_until_ready())
    {
        system.stop();
        return 2;
    }
    auto const entries = system.entries_of("ikeja");
    auto const begin = events.now();
    int crashed = 0;
    int number = 0;
    while (events.now() < begin + (crashes + 1) * pause_ms)
    {
        sleep_ms(job_interval_ms);
        client_job job{job_id(number), 1, task_ms};
        job.requires_label = "a";
        system.submit(job,
                      {entries.at(number % 2), entries.at(1 - number % 2)});
        ++number;
        if (crashed < crashes && events.now() > begin + crashed * pause_ms)
        {
            if (disrupted)
                system.crash_worker(static_cast<std::size_t>(crashed), down_ms,
                                    "b");
            ++crashed;
        }
    }
    system.wait_for_clients();
    system.stop();
    int found = 0;
    for (auto const& each : events.runs())
    {
        if (each.kind == "a")
            continue;
        events.add("ROUTE " + each.task + ", which requires a, started on " +
                   each.worker + " of kind " + each.kind);
        ++found;
    }
    std::printf("%d tasks that require kind a started on kind b\n", found);
    return found == 0 ? 0 : 1;
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 4)
        return 2;
    bool const disrupted = std::string(arguments[3]) == "on";
    auto const result = run(arguments[1], arguments[2], disrupted);
    std::fflush(nullptr);
    std::_Exit(result);
}
