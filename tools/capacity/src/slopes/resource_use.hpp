#ifndef MASTICSHIFT_CAPACITY_RESOURCE_USE_HPP
#define MASTICSHIFT_CAPACITY_RESOURCE_USE_HPP

#include <malloc.h>

#include <ctime>

namespace capacity
{

/// Bytes that the process holds on the heap.
inline double heap_bytes()
{
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Processor time of a step in microseconds. Other processes do not count.
template <class Step>
double processor_microseconds(Step step)
{
    auto const began = std::clock();
    step();
    return static_cast<double>(std::clock() - began) * 1e6 / CLOCKS_PER_SEC;
}

} // namespace capacity

#endif
