#ifndef MASTICSHIFT_HOMES_TESTS_TABLE_FIXTURE_HPP
#define MASTICSHIFT_HOMES_TESTS_TABLE_FIXTURE_HPP

#include <homes/submission_table.hpp>

#include <string>
#include <utility>

namespace masticshift::homes::testing
{

inline process_name const home_process{"10.0.0.7:9100", 0xabc};
inline time_point const start_time{std::chrono::hours(1)};

inline body_digest digest_for(unsigned body)
{
    body_digest digest;
    digest.bytes[0] = static_cast<std::uint8_t>(body);
    return digest;
}

inline answer_ptr make_answer(result_code code, ran_state ran,
                              std::string body = {})
{
    return std::make_shared<kept_answer const>(
        kept_answer{code, ran, info_of(code).http_status, std::move(body), {}});
}

inline answer_ptr ok_answer(std::string body = "done")
{
    return make_answer(result_code::ok, ran_state::ran, std::move(body));
}

inline answer_ptr overload_answer()
{
    return make_answer(result_code::overloaded, ran_state::not_run);
}

} // namespace masticshift::homes::testing

#endif
