#ifndef MASTICSHIFT_ENDPOINT_STANDIN_ENDPOINT_CONTROL_HPP
#define MASTICSHIFT_ENDPOINT_STANDIN_ENDPOINT_CONTROL_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>

#include <string_view>

namespace masticshift::endpoint_standin
{

/// Faults and speed that `POST /control` sets, as in docs/PLATFORM.md.
struct endpoint_control
{
    double speed = 1;
    bool fail = false;
    bool refuse = false;
    bool hang = false;
    unsigned silent_after_write = 0;
    unsigned close_after_write = 0;
    unsigned cross_answers = 0;
    unsigned straggle_every = 0;
    milliseconds straggle{0};
};

/// Returns `control` with the fields of the JSON object `body` replaced. Fails
/// with `malformed_request` on unknown fields and wrong types.
outcome<endpoint_control> change(endpoint_control control,
                                 std::string_view body);

/// Decrements the count of faults still to be injected. False if it is 0.
bool consume_one(unsigned& count);

} // namespace masticshift::endpoint_standin

#endif
