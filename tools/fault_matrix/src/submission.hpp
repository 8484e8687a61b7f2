#ifndef MASTICSHIFT_FAULT_MATRIX_SUBMISSION_HPP
#define MASTICSHIFT_FAULT_MATRIX_SUBMISSION_HPP

#include <history/event.hpp>
#include <transport/http_message.hpp>

#include <string>
#include <vector>

namespace masticshift::fault_matrix
{

/// A job or a request that a caller submits under one id.
struct submission
{
    std::string id;
    std::string service;
    history::call_kind kind = history::call_kind::job;
    bool idempotent = false;
    unsigned timeout_ms = 0;
    /// JSON text, one for each task.
    std::vector<std::string> inputs;
};

transport::http_request to_request(submission const& submitted);

history::call_sent to_event(submission const& submitted, std::uint64_t call,
                            std::string entry);

history::call_answered to_event(submission const& submitted, std::uint64_t call,
                                transport::http_response const& answer);

} // namespace masticshift::fault_matrix

#endif
