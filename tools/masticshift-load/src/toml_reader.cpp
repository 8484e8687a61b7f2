#include "toml_reader.hpp"

#include <limits>

namespace masticshift::load
{

namespace
{

constexpr std::int64_t max_duration_ms = std::int64_t{24} * 3'600'000;

} // namespace

toml_reader::toml_reader(toml::table const& table, std::string origin)
    : table_(table), origin_(std::move(origin))
{
}

void toml_reader::read(std::string_view key, double& number, double min_value)
{
    auto const* const node = find(key);
    if (!node)
        return;
    auto const value = node->value<double>();
    if (!value)
        fail(key, result_code::config_wrong_type, "not a number");
    else if (!(*value >= min_value))
        fail(key, result_code::config_out_of_range,
             "below the allowed minimum");
    else
        number = *value;
}

void toml_reader::read(std::string_view key, std::uint64_t& number)
{
    auto const* const node = find(key);
    if (!node)
        return;
    auto const value = node->value_exact<std::int64_t>();
    if (!value)
        fail(key, result_code::config_wrong_type, "not an integer");
    else if (*value < 0)
        fail(key, result_code::config_out_of_range, "below 0");
    else
        number = static_cast<std::uint64_t>(*value);
}

void toml_reader::read(std::string_view key, unsigned& number,
                       unsigned min_value)
{
    std::uint64_t wide_value = number;
    read(key, wide_value);
    if (wide_value < min_value ||
        wide_value > std::numeric_limits<unsigned>::max())
        fail(key, result_code::config_out_of_range, "out of range");
    else
        number = static_cast<unsigned>(wide_value);
}

void toml_reader::read(std::string_view key, milliseconds& value)
{
    auto wide_value = static_cast<std::uint64_t>(value.count());
    read(key, wide_value);
    if (wide_value > max_duration_ms)
        fail(key, result_code::config_out_of_range, "longer than 24 hours");
    else
        value = milliseconds(static_cast<std::int64_t>(wide_value));
}

void toml_reader::read(std::string_view key, bool& flag)
{
    auto const* const node = find(key);
    if (!node)
        return;
    auto const value = node->value_exact<bool>();
    if (value)
        flag = *value;
    else
        fail(key, result_code::config_wrong_type, "not true or false");
}

void toml_reader::read(std::string_view key, std::string& text)
{
    auto const* const node = find(key);
    if (!node)
        return;
    auto const value = node->value_exact<std::string>();
    if (value)
        text = *value;
    else
        fail(key, result_code::config_wrong_type, "not a string");
}

void toml_reader::read(std::string_view key, config::socket_address& address)
{
    std::string text;
    read(key, text);
    if (text.empty())
        return;
    auto const parsed = config::parse_socket_address(text);
    if (parsed)
        address = *parsed;
    else
        fail(key, parsed.error().code, parsed.error().detail);
}

bool toml_reader::has(std::string_view key) const
{
    return table_.contains(key);
}

void toml_reader::fail(std::string_view key, result_code code,
                       std::string_view detail)
{
    if (error_)
        return;
    auto const* const node = table_.get(key);
    error_ =
        failure{code, location_of(node ? node->source() : table_.source()) +
                          std::string(key) + ": " + std::string(detail)};
}

std::optional<failure> toml_reader::error() const
{
    if (error_)
        return error_;
    for (auto const& [key, node] : table_)
    {
        if (!read_keys_.contains(key.str()))
            return failure{result_code::config_unknown_key,
                           location_of(key.source()) + std::string(key.str()) +
                               ": unknown key"};
    }
    return std::nullopt;
}

toml::node const* toml_reader::find(std::string_view key)
{
    read_keys_.emplace(key);
    return table_.get(key);
}

std::string toml_reader::location_of(toml::source_region const& source) const
{
    return origin_ + ":" + std::to_string(source.begin.line) + ": ";
}

} // namespace masticshift::load
