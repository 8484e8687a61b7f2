#ifndef PLATFORM_STANDIN_FAULT_CONTROL_HPP
#define PLATFORM_STANDIN_FAULT_CONTROL_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <optional>
#include <string_view>

namespace platform_standin
{

/// Faults to inject, as set by `POST /control`.
struct fault_control
{
    bool available = true;
    bool hang = false;
    masticshift::milliseconds delay{0};
    /// Number of the next writes that take effect but get no response.
    unsigned lose_answers = 0;
    /// Number of the next writes that are dropped without effect or response.
    unsigned lose_requests = 0;
    /// Age of the VM list that readers get.
    masticshift::milliseconds vm_lag{0};
};

/// The effect of one call of `POST /control`.
struct control_change
{
    fault_control control;
    /// The new VM list, if the call has one.
    std::optional<boost::json::array> vms;
};

/// Returns `current` with the fields in `body` replaced. Fails if a field is
/// unknown or has a bad value.
masticshift::outcome<control_change> parse_control(std::string_view body,
                                                   fault_control current);

} // namespace platform_standin

#endif
