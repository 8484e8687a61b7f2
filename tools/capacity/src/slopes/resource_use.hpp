#ifndef MASTICSHIFT_CAPACITY_RESOURCE_USE_HPP
#define MASTICSHIFT_CAPACITY_RESOURCE_USE_HPP

#include <malloc.h>

#include <ctime>

namespace capacity
{

/// Bytes of heap memory that the process has allocated.
inline double heap_bytes()
{
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Processor time of this process during `step`, in microseconds.
template <class Step>
double processor_microseconds(Step step)
{
    auto const start = std::clock();
    step();
    return static_cast<double>(std::clock() - start) * 1e6 / CLOCKS_PER_SEC;
}

} // namespace capacity

#endif
