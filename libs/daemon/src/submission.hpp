#ifndef MASTICSHIFT_DAEMON_SUBMISSION_HPP
#define MASTICSHIFT_DAEMON_SUBMISSION_HPP

#include <homes/body_digest.hpp>

#include <core/outcome.hpp>
#include <core/time.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::daemon
{

/// A submission as received from a caller or from another entry.
struct submission_call
{
    homes::submission_kind kind = homes::submission_kind::job;
    /// The id of a request, empty if none was given. A job's id is in its body.
    std::string id;
    /// The service of a request. A job's service is in its body.
    std::string service;
    bool idempotent = false;
    /// The timeout of a request, 0 if none was given.
    milliseconds timeout{0};
    std::string body;
};

struct task_input
{
    std::string body;
    /// Declared run time as a multiple of the service's declared run time.
    float size = 1;
};

/// A submission with its fields checked.
struct submission
{
    homes::submission_kind kind = homes::submission_kind::job;
    /// Empty if none was given.
    std::string id;
    /// The caller's own key, given instead of an id.
    std::string key;
    std::string service;
    bool idempotent = false;
    milliseconds timeout{0};
    std::vector<task_input> tasks;
    homes::body_digest digest;
};

/// The longest timeout that a caller may request.
constexpr milliseconds max_timeout{3'600'000};

/// Parses and checks a call. Fails with `malformed_request`, naming the field,
/// or with `too_many_tasks`.
outcome<submission> parse_submission(submission_call const& call,
                                     unsigned max_tasks);

} // namespace masticshift::daemon

#endif
