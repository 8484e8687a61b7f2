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

/// Faults that `POST /control` asks for.
struct fault_control
{
    bool available = true;
    bool hang = false;
    masticshift::milliseconds delay{0};
    /// Next writes that take effect without an answer.
    unsigned lose_answers = 0;
    /// Next writes that are dropped.
    unsigned lose_requests = 0;
    masticshift::milliseconds vm_lag{0};
};

/// One call of `POST /control`.
struct control_change
{
    fault_control control;
    /// The new VM list.
    std::optional<boost::json::array> vms;
};

/// Changes the fields that a body names. A faulty body changes nothing.
masticshift::outcome<control_change> parse_control(std::string_view body,
                                                   fault_control current);

} // namespace platform_standin

#endif
