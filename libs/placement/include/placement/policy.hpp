#ifndef MASTICSHIFT_PLACEMENT_POLICY_HPP
#define MASTICSHIFT_PLACEMENT_POLICY_HPP

#include <concepts>
#include <string_view>

namespace masticshift::placement
{

/// Order of the jobs that wait for a slot.
enum class job_order
{
    fifo,
    /// Least remaining work first, with ageing.
    least_remaining_work
};

/// Scheduling choices that are fixed at compile time.
template <class Policy>
concept placement_policy = requires
{
    {
        Policy::name
        } -> std::convertible_to<std::string_view>;
    {
        Policy::order
        } -> std::convertible_to<job_order>;
    // Idle slots are lent to and borrowed from other entries.
    {
        Policy::lends
        } -> std::convertible_to<bool>;
    // The longest task of a job goes to the fastest endpoint.
    {
        Policy::longest_first
        } -> std::convertible_to<bool>;
    // A slow slot stays idle when a task would end sooner by waiting for a
    // faster one.
    {
        Policy::leaves_slow_idle
        } -> std::convertible_to<bool>;
    // Slots are borrowed for queued tasks even while this entry has free
    // slots, in order to get faster ones.
    {
        Policy::borrows_for_speed
        } -> std::convertible_to<bool>;
};

/// Uses the slots that the entry owns, lends and borrows idle slots in
/// batches; least remaining work first.
struct lending_policy
{
    static constexpr std::string_view name = "lending";
    static constexpr auto order = job_order::least_remaining_work;
    static constexpr bool lends = true;
    static constexpr bool longest_first = true;
    static constexpr bool leaves_slow_idle = true;
    static constexpr bool borrows_for_speed = false;
};

/// As `lending_policy`; also borrows while the entry has idle slots, since a
/// borrowed slot may be faster.
struct lending_fast_policy : lending_policy
{
    static constexpr std::string_view name = "lending_fast";
    static constexpr bool borrows_for_speed = true;
};

/// As `lending_policy`; starts a task on any idle slot, however slow, instead
/// of waiting for a faster one.
struct lending_eager_policy : lending_policy
{
    static constexpr std::string_view name = "lending_eager";
    static constexpr bool leaves_slow_idle = false;
};

/// As `lending_eager_policy`, but first come, first served.
struct lending_fifo_policy : lending_eager_policy
{
    static constexpr std::string_view name = "lending_fifo";
    static constexpr auto order = job_order::fifo;
};

/// No lending, least remaining work first.
struct fixed_share_policy : lending_eager_policy
{
    static constexpr std::string_view name = "fixed_share";
    static constexpr bool lends = false;
};

/// The baseline for comparisons: no lending, first come, first served, the
/// tasks of a job in the given order.
struct fixed_share_fifo_policy : fixed_share_policy
{
    static constexpr std::string_view name = "fixed_share_fifo";
    static constexpr auto order = job_order::fifo;
    static constexpr bool longest_first = false;
};

} // namespace masticshift::placement

#endif
