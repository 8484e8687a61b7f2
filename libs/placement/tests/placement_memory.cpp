// Prints the heap that endpoints, slots and queued tasks take.

#include "fixture.hpp"

#include <malloc.h>

#include <cstdio>

using namespace masticshift;
using namespace masticshift::placement;
using namespace masticshift::placement::testing;

namespace
{

constexpr unsigned jobs = 2'000;

double heap_bytes()
{
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double bytes_of_engine(unsigned endpoints, unsigned slots)
{
    auto const text = text_of(endpoints, slots);
    double const before = heap_bytes();
    auto engine = *make_engine("lending", settings_of());
    engine.configure(text, at_ms(0));
    return heap_bytes() - before;
}

double bytes_of_queue(unsigned endpoints, unsigned job_tasks)
{
    auto engine = *make_engine("lending", settings_of());
    auto text = text_of(endpoints);
    text.services["s"].queue_limit = jobs * job_tasks;
    engine.configure(text, at_ms(0));
    std::vector<float> const sizes(job_tasks, 1.0F);
    double const before = heap_bytes();
    for (unsigned job = 0; job < jobs; ++job)
        engine.admit(job_of(job, sizes), at_ms(0));
    return heap_bytes() - before;
}

} // namespace

int main()
{
    for (unsigned const endpoints : {48U, 200U, 790U})
    {
        double const eight = bytes_of_engine(endpoints, 8);
        double const sixteen = bytes_of_engine(endpoints, 16);
        double const slot = (sixteen - eight) / (8.0 * endpoints);
        double const one = bytes_of_queue(endpoints, 1);
        double const eleven = bytes_of_queue(endpoints, 11);
        double const task = (eleven - one) / (10.0 * jobs);
        std::printf("%u endpoints: %.0f bytes, %.0f an endpoint with 8 slots, "
                    "%.1f a slot, %.1f a queued task, %.0f a job beside\n",
                    endpoints, eight, eight / endpoints, slot, task,
                    one / jobs - task);
    }
}
