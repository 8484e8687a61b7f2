#ifndef MASTICSHIFT_HOMES_KEPT_ANSWER_HPP
#define MASTICSHIFT_HOMES_KEPT_ANSWER_HPP

#include <core/result_code.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace masticshift::homes
{

/// The answer of a submission, returned for every copy of it.
struct kept_answer
{
    result_code code = result_code::ok;
    ran_state ran = ran_state::unknown;
    unsigned http_status = 0;
    std::string body;
    std::string content_type;
};

/// Shared by the submission table, waiting callers and handovers.
using answer_ptr = std::shared_ptr<kept_answer const>;

/// Size in bytes that counts towards the limit on kept answers.
inline std::size_t size_of(kept_answer const& answer)
{
    return answer.body.size() + answer.content_type.size();
}

} // namespace masticshift::homes

#endif
