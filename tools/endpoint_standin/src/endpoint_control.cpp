#include "endpoint_control.hpp"

#include <boost/json.hpp>

namespace masticshift::endpoint_standin
{

namespace
{

namespace json = boost::json;

bool read(json::value const& value, bool& flag)
{
    if (!value.is_bool())
        return false;
    flag = value.get_bool();
    return true;
}

bool read(json::value const& value, unsigned& count)
{
    json::error_code error;
    count = value.is_number() ? value.to_number<unsigned>(error) : 0;
    return value.is_number() && !error;
}

bool read(json::value const& value, milliseconds& length)
{
    unsigned count = 0;
    bool const is_valid = read(value, count);
    length = milliseconds(count);
    return is_valid;
}

bool read_speed(json::value const& value, double& speed)
{
    if (!value.is_number())
        return false;
    speed = value.to_number<double>();
    return speed > 0;
}

bool read_field(endpoint_control& control, std::string_view name,
                json::value const& value)
{
    if (name == "speed")
        return read_speed(value, control.speed);
    if (name == "fail")
        return read(value, control.fail);
    if (name == "refuse")
        return read(value, control.refuse);
    if (name == "hang")
        return read(value, control.hang);
    if (name == "silent_after_write")
        return read(value, control.silent_after_write);
    if (name == "close_after_write")
        return read(value, control.close_after_write);
    if (name == "cross_answers")
        return read(value, control.cross_answers);
    if (name == "straggle_every")
        return read(value, control.straggle_every);
    if (name == "straggle_ms")
        return read(value, control.straggle);
    return false;
}

} // namespace

outcome<endpoint_control> change(endpoint_control control,
                                 std::string_view body)
{
    json::error_code error;
    auto const value = json::parse(body, error);
    if (error || !value.is_object())
        return failure{result_code::malformed_request, "not a JSON object"};
    for (auto const& field : value.get_object())
    {
        if (!read_field(control, field.key(), field.value()))
            return failure{result_code::malformed_request,
                           "unknown field or bad value: " +
                               std::string(field.key())};
    }
    return control;
}

bool consume_one(unsigned& count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

} // namespace masticshift::endpoint_standin
