#include "json_access.hpp"

#include <boost/json/parse.hpp>

namespace masticshift::store
{

namespace json = boost::json;

std::optional<json::object> parse_object(std::string_view text)
{
    boost::system::error_code error;
    auto parsed = json::parse(text, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.as_object());
}

std::optional<std::uint64_t> number_at(json::object const& object,
                                       std::string_view key)
{
    auto const* const value = object.if_contains(key);
    if (value == nullptr || !value->is_number())
        return std::nullopt;
    boost::system::error_code error;
    auto const number = value->to_number<std::uint64_t>(error);
    if (error)
        return std::nullopt;
    return number;
}

std::optional<std::string> string_at(json::object const& object,
                                     std::string_view key)
{
    auto const* const value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return std::string(value->as_string());
}

json::array const* array_at(json::object const& object, std::string_view key)
{
    auto const* const value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_array();
}

} // namespace masticshift::store
