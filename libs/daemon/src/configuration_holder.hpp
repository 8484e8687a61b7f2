#ifndef MASTICSHIFT_DAEMON_CONFIGURATION_HOLDER_HPP
#define MASTICSHIFT_DAEMON_CONFIGURATION_HOLDER_HPP

#include "entry_state.hpp"
#include "job_runner.hpp"

#include <core/outcome.hpp>

#include <cstdint>
#include <string_view>

namespace masticshift::daemon
{

/// Puts configurations in force at this entry, never a lower revision.
class configuration_holder
{
public:
    configuration_holder(entry_state& state, job_runner& runner);

    /// 0: none is in force.
    std::uint64_t revision() const;

    /// Puts a text in force unless its revision is not above the present one.
    /// Fails as `load_service_text` does; the present one stays in force then.
    outcome<void> put_in_force(std::uint64_t revision, std::string_view text,
                               std::string_view origin, time_point now);

private:
    entry_state& state_;
    job_runner& runner_;
};

} // namespace masticshift::daemon

#endif
