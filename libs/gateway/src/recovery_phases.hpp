#ifndef MASTICSHIFT_GATEWAY_RECOVERY_PHASES_HPP
#define MASTICSHIFT_GATEWAY_RECOVERY_PHASES_HPP

#include <core/time.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace masticshift::gateway
{

/// What a process has to reach after its start until it serves at full rate.
enum class recovery_phase
{
    configuration_read,
    endpoints_read,
    /// A heartbeat of another entry has arrived.
    first_peer,
    /// The dispatcher of a cell is known.
    first_claim,
    /// This entry dispatches a cell.
    cell_taken,
    /// Half of the endpoints of its cells, and all of them, can be used.
    half_listed,
    all_listed,
    /// This entry has ordered its first start.
    first_placement,
    /// Begin of the first second in which no job was refused because no
    /// dispatcher was known.
    full_rate
};

constexpr std::size_t recovery_phase_count = 9;

char const* name_of(recovery_phase phase);

/// Records when a process has reached each phase of its recovery.
class recovery_phases
{
public:
    explicit recovery_phases(time_point started) : started_(started)
    {
    }

    /// Later times for the same phase are ignored.
    void reach(recovery_phase phase, time_point now);

    /// `listed`: how many of the endpoints of this entry's cells can be used.
    void record_listed(std::size_t listed, std::size_t endpoints,
                       time_point now);

    /// A job was refused because no dispatcher was known.
    void record_refusal(time_point now);

    /// To be called often. Returns true once: when the recovery has ended, or
    /// has not ended within `longest_recovery`.
    bool has_ended(time_point now);

    /// Whether jobs can't be placed yet, soon after the start.
    bool is_starting(time_point now) const;

    duration age(time_point now) const
    {
        return now - started_;
    }

    /// Time from the start of the process; nothing if it was not reached.
    std::optional<milliseconds> reached(recovery_phase phase) const;

    static constexpr milliseconds longest_recovery{30'000};

private:
    bool has_reached(recovery_phase phase) const;
    bool can_place() const;

    time_point started_;
    std::array<std::optional<time_point>, recovery_phase_count> reached_;
    std::optional<time_point> last_refusal_;
    bool ended_ = false;
};

} // namespace masticshift::gateway

#endif
