#ifndef MASTICSHIFT_STORE_JSON_ACCESS_HPP
#define MASTICSHIFT_STORE_JSON_ACCESS_HPP

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticshift::store
{

/// Parses a JSON object. Returns nothing when the text is anything else.
std::optional<boost::json::object> parse_object(std::string_view json);

// Access to a member of an object. Returns nothing when the member is absent or
// has another type.
std::optional<std::uint64_t> number_at(boost::json::object const& object,
                                       std::string_view key);
std::optional<std::string> string_at(boost::json::object const& object,
                                     std::string_view key);
boost::json::array const* array_at(boost::json::object const& object,
                                   std::string_view key);

} // namespace masticshift::store

#endif
