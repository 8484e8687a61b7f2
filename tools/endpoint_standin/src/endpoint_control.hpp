#ifndef MASTICSHIFT_ENDPOINT_STANDIN_ENDPOINT_CONTROL_HPP
#define MASTICSHIFT_ENDPOINT_STANDIN_ENDPOINT_CONTROL_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>

#include <string_view>

namespace masticshift::endpoint_standin
{

/// What `POST /control` sets, as in docs/PLATFORM.md.
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

/// The control with the fields of a JSON object changed. Fails with
/// `malformed_request` on unknown fields and wrong types.
outcome<endpoint_control> change(endpoint_control control,
                                 std::string_view body);

/// Takes one from a count of events still to come. False when it is 0.
bool take_one(unsigned& count);

} // namespace masticshift::endpoint_standin

#endif
