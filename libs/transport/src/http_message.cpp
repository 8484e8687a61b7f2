#include <transport/http_message.hpp>

#include <algorithm>
#include <charconv>

namespace masticshift::transport
{

namespace
{

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equal_without_case(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, lower, lower);
}

bool is_unreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
           c == '~';
}

} // namespace

std::string_view http_fields::operator[](std::string_view name) const
{
    for (auto const& field : list)
    {
        if (equal_without_case(field.name, name))
            return field.value;
    }
    return {};
}

void http_fields::set(std::string_view name, std::string_view value)
{
    for (auto& field : list)
    {
        if (equal_without_case(field.name, name))
        {
            field.value = value;
            return;
        }
    }
    list.push_back({std::string(name), std::string(value)});
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string query_parameter(std::string_view target, std::string_view name)
{
    auto const mark = target.find('?');
    if (mark == std::string_view::npos)
        return {};
    auto query = target.substr(mark + 1);
    while (!query.empty())
    {
        auto const end = query.find('&');
        auto const pair = query.substr(0, end);
        auto const equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percent_decode(pair.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        query.remove_prefix(end + 1);
    }
    return {};
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (char const c : text)
    {
        if (is_unreserved(c))
        {
            encoded += c;
            continue;
        }
        auto const byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned char byte = 0;
        if (text[i] == '%' && i + 2 < text.size())
        {
            auto const* const first = text.data() + i + 1;
            auto const parsed = std::from_chars(first, first + 2, byte, 16);
            if (parsed.ec == std::errc{} && parsed.ptr == first + 2)
            {
                decoded += static_cast<char>(byte);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

} // namespace masticshift::transport
