#ifndef MASTICSHIFT_CORE_RESULT_CODE_HPP
#define MASTICSHIFT_CORE_RESULT_CODE_HPP

#include <optional>
#include <span>
#include <string_view>

namespace masticshift
{

/// Numbered results that callers, operators and peers receive. The numbers are
/// part of the public interface and are never reused. docs/ERRORS.md contains
/// the same table.
enum class result_code : int
{
    ok = 0,

    // Faults of a request or its id, which its sender has to correct.
    malformed_request = 100,
    body_too_large = 101,
    unknown_service = 102,
    unknown_id = 103,
    id_malformed = 104,
    id_reused = 105,
    id_expired = 106,
    home_required = 107,
    too_many_tasks = 108,
    header_too_large = 109,
    request_timeout = 110,
    method_not_allowed = 111,
    path_not_found = 112,
    id_forged = 113,

    // The request was valid but is refused: the entry, the endpoints or the
    // configuration do not allow it.
    overloaded = 200,
    draining = 201,
    deadline_unreachable = 202,
    dependency_unavailable = 203,
    never_runnable = 204,
    not_ready = 205,
    platform_unavailable = 206,
    too_many_connections = 207,
    unsupported_job = 208,
    no_dispatcher = 209,
    request_waited = 210,
    evacuated = 211,

    // An accepted job ended without a complete answer.
    outcome_unknown = 300,
    deadline_passed = 301,
    cancelled = 302,
    task_failed = 303,
    endpoint_lost = 304,
    answer_mismatch = 305,
    answer_too_large = 306,
    home_unreachable = 307,
    endpoint_refused = 308,

    // Faults of settings, service configurations and their revisions.
    config_syntax = 400,
    config_unknown_key = 401,
    config_wrong_type = 402,
    config_out_of_range = 403,
    config_missing_key = 404,
    config_unknown_reference = 405,
    config_cycle = 406,
    config_duplicate = 407,
    revision_conflict = 408,
    revision_absent = 409,
    config_contradiction = 410,

    // Faults of the program, its environment, its peers or the platform.
    internal = 500,
    peer_unreachable = 501,
    platform_timeout = 502,
    platform_bad_answer = 503,
    bind_failed = 504,
    usage = 505,
    io_error = 506,
    peer_protocol = 507,
    write_unsettled = 508
};

/// One row of the table of result codes.
struct result_code_info
{
    result_code code;
    std::string_view name;
    /// HTTP status of a response with this code.
    unsigned http_status;
    /// What the recipient of the code can do.
    std::string_view advice;
};

/// All rows, ordered by number.
std::span<result_code_info const> result_codes();

/// The row of a code. Returns the row of `internal` for a number that is not
/// listed.
result_code_info const& info_of(result_code code);

/// The name of a code as written in answers and logs.
std::string_view name_of(result_code code);

/// The code with this number, or nothing.
std::optional<result_code> result_code_of(int number);

/// The exit code of the command-line tools: the hundreds digit of the result
/// code, which is 0 for `ok` and 1 to 5 for errors.
int exit_code_of(result_code code);

/// Whether any task of a submission was started.
enum class ran_state
{
    /// No byte of any task was sent to an endpoint, and none will be.
    not_run,
    ran,
    unknown
};

std::string_view name_of(ran_state ran);
std::optional<ran_state> ran_state_of(std::string_view name);

} // namespace masticshift

#endif
