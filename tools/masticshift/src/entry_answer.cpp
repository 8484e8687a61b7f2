#include "entry_answer.hpp"

#include <boost/json/parse.hpp>

namespace masticshift::cli
{

namespace json = boost::json;

namespace
{

std::string text_at(json::object const& object, std::string_view key)
{
    auto const* const value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
        return {};
    return std::string(value->as_string());
}

std::optional<result_code> code_at(json::object const& object)
{
    auto const* const value = object.if_contains("code");
    if (value == nullptr || !value->is_int64())
        return std::nullopt;
    auto const number = value->as_int64();
    if (number < 0 || number > std::numeric_limits<int>::max())
        return std::nullopt;
    return result_code_of(static_cast<int>(number));
}

} // namespace

std::optional<entry_answer>
parse_entry_answer(transport::http_response const& response)
{
    boost::system::error_code error;
    auto parsed = json::parse(response.body, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    entry_answer answer;
    answer.body = std::move(parsed.as_object());
    auto const code = code_at(answer.body);
    auto const ran = ran_state_of(text_at(answer.body, "ran"));
    if (!code || !ran)
        return std::nullopt;
    answer.code = *code;
    answer.ran = *ran;
    answer.detail = text_at(answer.body, "detail");
    return answer;
}

failure make_call_error(std::string const& address,
                        transport::call_failure const& failed)
{
    return {result_code::io_error, address + ": " + failed.error.detail};
}

} // namespace masticshift::cli
