#ifndef MASTICSHIFT_DISPATCH_RESOURCES_HPP
#define MASTICSHIFT_DISPATCH_RESOURCES_HPP

#include <cstdint>

namespace masticshift::dispatch
{

/// Resources that a task needs or an endpoint has.
struct resources
{
    /// Thousandths of a core.
    std::int64_t processor = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(resources const& other)
    {
        processor += other.processor;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(resources const& other)
    {
        processor -= other.processor;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator-(resources left, resources const& right)
    {
        return left -= right;
    }

    friend bool operator==(resources const&, resources const&) = default;
};

/// Whether the free resources cover a need.
inline bool fits(resources const& need, resources const& free)
{
    return need.processor <= free.processor &&
           need.memory_mb <= free.memory_mb &&
           need.accelerators <= free.accelerators;
}

} // namespace masticshift::dispatch

#endif
