#ifndef MASTICSHIFT_LOAD_JOB_MESSAGE_HPP
#define MASTICSHIFT_LOAD_JOB_MESSAGE_HPP

#include "job_outcome.hpp"
#include "job_source.hpp"

#include <history/event.hpp>
#include <transport/http_message.hpp>

namespace masticshift::load
{

/// Builds the request of docs/API.md that submits a job under an id.
transport::http_request make_submission(scenario const& plan,
                                        planned_job const& job,
                                        std::string const& id);

/// A parsed answer.
struct parsed_answer
{
    call_end end = call_end::bad_answer;
    history::call_answered content;
};

/// Parses the response to a submission. `with_digests`: whether the content
/// gets the digests of the outputs.
parsed_answer read_submission_answer(scenario const& plan,
                                     transport::http_response const& response,
                                     bool with_digests);

} // namespace masticshift::load

#endif
