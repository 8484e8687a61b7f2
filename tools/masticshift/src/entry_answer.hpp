#ifndef MASTICSHIFT_CLI_ENTRY_ANSWER_HPP
#define MASTICSHIFT_CLI_ENTRY_ANSWER_HPP

#include <core/outcome.hpp>
#include <transport/http_client.hpp>

#include <boost/json/object.hpp>

#include <optional>
#include <string>

namespace masticshift::cli
{

/// What an entry said about a job, as in docs/API.md.
struct entry_answer
{
    result_code code = result_code::internal;
    ran_state ran = ran_state::unknown;
    std::string detail;
    /// The whole body.
    boost::json::object body;
};

/// Nothing where the body is no answer about a job.
std::optional<entry_answer>
parse_entry_answer(transport::http_response const& response);

/// The error of a call that got no answer.
failure call_failed(std::string const& address,
                    transport::call_failure const& failed);

} // namespace masticshift::cli

#endif
