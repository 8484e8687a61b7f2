#ifndef MASTICSHIFT_DAEMON_CONFIGURATION_HOLDER_HPP
#define MASTICSHIFT_DAEMON_CONFIGURATION_HOLDER_HPP

#include "entry_state.hpp"
#include "job_runner.hpp"

#include <core/outcome.hpp>

#include <cstdint>
#include <string_view>

namespace masticshift::daemon
{

/// Holds the configuration in force at this entry. Its revision never
/// decreases.
class configuration_holder
{
public:
    configuration_holder(entry_state& state, job_runner& runner);

    /// Revision in force, 0 if there is none.
    std::uint64_t revision() const;

    /// Puts a text in force if its revision is higher than the current one,
    /// else does nothing. Fails as `load_operator_configuration` does; the
    /// current configuration then stays in force.
    outcome<void> put_in_force(std::uint64_t revision, std::string_view text,
                               std::string_view origin, time_point now);

private:
    entry_state& state_;
    job_runner& runner_;
};

} // namespace masticshift::daemon

#endif
