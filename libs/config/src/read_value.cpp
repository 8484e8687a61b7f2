#include "read_value.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>

namespace masticshift::config
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::array log_levels{log_level::debug, log_level::info,
                                log_level::warning, log_level::error};

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string range_of(value_rule const& rule)
{
    return std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum);
}

leaf::error_id wrong_type(toml_value const& value, std::string const& expected)
{
    return refuse(value, result_code::config_wrong_type, "must be " + expected);
}

leaf::error_id out_of_range(toml_value const& value,
                            std::string const& expected)
{
    return refuse(value, result_code::config_out_of_range,
                  "must be " + expected);
}

leaf::result<std::int64_t> read_integer(toml_value const& value,
                                        value_rule const& rule)
{
    auto const* const node = value.node->as_integer();
    if (node == nullptr)
        return wrong_type(value, "an integer");
    auto const number = node->get();
    if (number < rule.minimum || number > rule.maximum)
        return out_of_range(value, range_of(rule));
    return number;
}

template <class Number>
read_result read_number(toml_value const& value, value_rule const& rule,
                        Number& number)
{
    BOOST_LEAF_AUTO(integer, read_integer(value, rule));
    number = Number(integer);
    return {};
}

template <class Item>
read_result check_duplicate(toml_value const& element, Item const& item,
                            std::vector<Item> const& earlier)
{
    if (std::ranges::find(earlier, item) == earlier.end())
        return {};
    return refuse(element, result_code::config_duplicate, "is listed twice");
}

template <class Item>
read_result read_list(toml_value const& value, value_rule const& rule,
                      std::vector<Item>& list)
{
    auto const* const array = value.node->as_array();
    if (array == nullptr)
        return wrong_type(value, "an array");
    if (array->size() > max_list_length)
    {
        return out_of_range(value, "an array of at most " +
                                       std::to_string(max_list_length));
    }
    std::vector<Item> read;
    for (auto const& node : *array)
    {
        toml_value const element{value.origin, value.path, &node};
        Item item;
        BOOST_LEAF_CHECK(read_value(element, rule, item));
        BOOST_LEAF_CHECK(check_duplicate(element, item, read));
        read.push_back(std::move(item));
    }
    list = std::move(read);
    return {};
}

bool can_connect_to(socket_address const& address)
{
    return address.port != 0 &&
           !boost::asio::ip::make_address(address.ip).is_unspecified();
}

} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::ranges::all_of(text, is_name_character);
}

read_result read_value(toml_value const& value, value_rule const&, bool& flag)
{
    auto const* const node = value.node->as_boolean();
    if (node == nullptr)
        return wrong_type(value, "true or false");
    flag = node->get();
    return {};
}

read_result read_value(toml_value const& value, value_rule const& rule,
                       double& number)
{
    auto const read = value.node->value<double>();
    if (!read || value.node->is_boolean())
        return wrong_type(value, "a number");
    // Written so that "nan" is out of range.
    bool const in_range = *read >= static_cast<double>(rule.minimum) &&
                          *read <= static_cast<double>(rule.maximum);
    if (!in_range)
        return out_of_range(value, range_of(rule));
    number = *read;
    return {};
}

read_result read_value(toml_value const& value, value_rule const& rule,
                       unsigned& number)
{
    return read_number(value, rule, number);
}

read_result read_value(toml_value const& value, value_rule const& rule,
                       std::size_t& number)
{
    return read_number(value, rule, number);
}

read_result read_value(toml_value const& value, value_rule const& rule,
                       milliseconds& length)
{
    return read_number(value, rule, length);
}

read_result read_value(toml_value const& value, value_rule const& rule,
                       std::string& text)
{
    auto const* const node = value.node->as_string();
    if (node == nullptr)
        return wrong_type(value, "a string");
    auto const& read = node->get();
    if (rule.form == text_form::name && !is_name(read))
    {
        return out_of_range(value, "1 to " + std::to_string(max_name_length) +
                                       " letters, digits, '-', '_' or '.'");
    }
    auto const length = static_cast<std::int64_t>(read.size());
    if (rule.form == text_form::any &&
        (length < rule.minimum || length > rule.maximum))
        return out_of_range(value, range_of(rule) + " bytes long");
    text = read;
    return {};
}

read_result read_value(toml_value const& value, value_rule const&,
                       log_level& level)
{
    auto const* const node = value.node->as_string();
    if (node == nullptr)
        return wrong_type(value, "a string");
    auto const found = std::ranges::find(log_levels, node->get(),
                                         [](log_level each)
                                         {
                                             return name_of(each);
                                         });
    if (found == log_levels.end())
        return out_of_range(value, "debug, info, warning or error");
    level = *found;
    return {};
}

read_result read_value(toml_value const& value, value_rule const& rule,
                       socket_address& address)
{
    auto const* const node = value.node->as_string();
    if (node == nullptr)
        return wrong_type(value, "a string of the form IP:PORT");
    auto parsed = parse_socket_address(node->get());
    if (!parsed)
        return refuse(value, parsed.error().code, parsed.error().detail);
    if (rule.form == text_form::connect_address && !can_connect_to(*parsed))
        return out_of_range(value,
                            "an address that others can connect to, with an IP "
                            "address and a port other than 0");
    address = std::move(*parsed);
    return {};
}

read_result read_value(toml_value const& value, value_rule const& rule,
                       std::vector<std::string>& list)
{
    return read_list(value, rule, list);
}

read_result read_value(toml_value const& value, value_rule const& rule,
                       std::vector<socket_address>& list)
{
    return read_list(value, rule, list);
}

} // namespace masticshift::config
