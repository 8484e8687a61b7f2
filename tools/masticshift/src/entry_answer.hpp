#ifndef MASTICSHIFT_CLI_ENTRY_ANSWER_HPP
#define MASTICSHIFT_CLI_ENTRY_ANSWER_HPP

#include <core/outcome.hpp>
#include <transport/http_client.hpp>

#include <boost/json/object.hpp>

#include <optional>
#include <string>

namespace masticshift::cli
{

/// An entry's answer about a job, in the format of docs/API.md.
struct entry_answer
{
    result_code code = result_code::internal;
    ran_state ran = ran_state::unknown;
    std::string detail;
    /// The whole JSON body, the fields above included.
    boost::json::object body;
};

/// Parses a response. Returns nothing when the body is not an answer about a
/// job.
std::optional<entry_answer>
parse_entry_answer(transport::http_response const& response);

/// The error of a call to `address` that got no response.
failure make_call_error(std::string const& address,
                        transport::call_failure const& failed);

} // namespace masticshift::cli

#endif
