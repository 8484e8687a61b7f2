#include <core/result_code.hpp>

#include <algorithm>
#include <array>

namespace masticshift
{

namespace
{

using enum result_code;

constexpr int codes_per_class = 100;

constexpr std::array table{
    result_code_info{ok, "ok", 200, "Nothing to do."},
    result_code_info{malformed_request, "malformed_request", 400,
                     "Correct the request; the detail names the place."},
    result_code_info{body_too_large, "body_too_large", 413,
                     "Send a smaller body or split the job."},
    result_code_info{unknown_service, "unknown_service", 404,
                     "Use a service of the configuration in force."},
    result_code_info{unknown_id, "unknown_id", 404,
                     "The home of this id never took it; submit it."},
    result_code_info{id_malformed, "id_malformed", 400,
                     "Form the id as HOME.NONCE with a token from /v1/home."},
    result_code_info{id_reused, "id_reused", 409,
                     "Use a new nonce for another body."},
    result_code_info{id_expired, "id_expired", 410,
                     "The answer is no longer kept; it may have run."},
    result_code_info{home_required, "home_required", 409,
                     "Form an id with the home token in this answer."},
    result_code_info{too_many_tasks, "too_many_tasks", 400, "Split the job."},
    result_code_info{header_too_large, "header_too_large", 431,
                     "Send fewer or shorter header fields."},
    result_code_info{request_timeout, "request_timeout", 408,
                     "Send the whole request without pausing."},
    result_code_info{method_not_allowed, "method_not_allowed", 405,
                     "Use a method that docs/API.md lists for the path."},
    result_code_info{path_not_found, "path_not_found", 404,
                     "Use a path of docs/API.md."},
    result_code_info{id_forged, "id_forged", 403,
                     "Use a home token that an entry has issued."},
    result_code_info{overloaded, "overloaded", 503,
                     "Submit again later, after a growing pause."},
    result_code_info{draining, "draining", 503, "Submit to another entry."},
    result_code_info{deadline_unreachable, "deadline_unreachable", 503,
                     "Allow more time or submit later."},
    result_code_info{dependency_unavailable, "dependency_unavailable", 503,
                     "Wait until the service named in the detail is back."},
    result_code_info{never_runnable, "never_runnable", 422,
                     "No configured endpoint meets the needs of the service."},
    result_code_info{not_ready, "not_ready", 503,
                     "The entry has no configuration yet; use another."},
    result_code_info{platform_unavailable, "platform_unavailable", 503,
                     "Try again when the platform's service answers."},
    result_code_info{too_many_connections, "too_many_connections", 503,
                     "Close idle connections or use another entry."},
    result_code_info{unsupported_job, "unsupported_job", 503,
                     "Leave out what docs/API.md lists as not offered."},
    result_code_info{no_dispatcher, "no_dispatcher", 503,
                     "No entry dispatches at the moment; submit again."},
    result_code_info{request_waited, "request_waited", 503,
                     "The entry was paused and ran nothing; submit again."},
    result_code_info{evacuated, "evacuated", 503,
                     "Every data centre that serves it is evacuated; wait."},
    result_code_info{outcome_unknown, "outcome_unknown", 502,
                     "Tasks may have run; check before submitting anew."},
    result_code_info{deadline_passed, "deadline_passed", 504,
                     "The time allowed ran out; `ran` says what happened."},
    result_code_info{cancelled, "cancelled", 409, "Cancelled on request."},
    result_code_info{task_failed, "task_failed", 502,
                     "An endpoint reported the error in the detail."},
    result_code_info{endpoint_lost, "endpoint_lost", 502,
                     "An endpoint went silent after it was given a task."},
    result_code_info{answer_mismatch, "answer_mismatch", 502,
                     "An endpoint answered for another task; see its log."},
    result_code_info{answer_too_large, "answer_too_large", 502,
                     "Raise the limit or make the service answer less."},
    result_code_info{home_unreachable, "home_unreachable", 502,
                     "Ask for this id again later; this call ran nothing."},
    result_code_info{endpoint_refused, "endpoint_refused", 503,
                     "Endpoints refused every attempt; submit again later."},
    result_code_info{config_syntax, "config_syntax", 400,
                     "Correct the TOML at the line given."},
    result_code_info{config_unknown_key, "config_unknown_key", 400,
                     "Remove or correct the key at the line given."},
    result_code_info{config_wrong_type, "config_wrong_type", 400,
                     "Give the key a value of the type named."},
    result_code_info{config_out_of_range, "config_out_of_range", 400,
                     "Give the key a value in the range named."},
    result_code_info{config_missing_key, "config_missing_key", 400,
                     "Add the key that is named."},
    result_code_info{config_unknown_reference, "config_unknown_reference", 400,
                     "Define the name or correct the reference."},
    result_code_info{config_cycle, "config_cycle", 400,
                     "Break the cycle of dependencies that is listed."},
    result_code_info{config_duplicate, "config_duplicate", 400,
                     "Keep one of the two entries."},
    result_code_info{revision_conflict, "revision_conflict", 409,
                     "Another change won; read it, merge and apply again."},
    result_code_info{revision_absent, "revision_absent", 404,
                     "No configuration was applied yet; apply one."},
    result_code_info{config_contradiction, "config_contradiction", 400,
                     "Correct the keys that are named; with these values they "
                     "can't work."},
    result_code_info{internal, "internal", 500,
                     "Report this with the log lines around it."},
    result_code_info{peer_unreachable, "peer_unreachable", 502,
                     "Check the link between the entries."},
    result_code_info{platform_timeout, "platform_timeout", 504,
                     "Check the platform's service."},
    result_code_info{platform_bad_answer, "platform_bad_answer", 502,
                     "Check the version of the platform's service."},
    result_code_info{bind_failed, "bind_failed", 500,
                     "Check the address and that no other process holds it."},
    result_code_info{usage, "usage", 400, "See --help."},
    result_code_info{io_error, "io_error", 500,
                     "Check the file or link named in the detail."},
    result_code_info{peer_protocol, "peer_protocol", 502,
                     "Run entries of versions that know each other."},
    result_code_info{write_unsettled, "write_unsettled", 504,
                     "The change may be in force; `masticshift show` tells."}};

} // namespace

std::span<result_code_info const> result_codes()
{
    return table;
}

result_code_info const& info_of(result_code code)
{
    auto const row = std::ranges::find(table, code, &result_code_info::code);
    if (row != table.end())
        return *row;
    return *std::ranges::find(table, internal, &result_code_info::code);
}

std::string_view name_of(result_code code)
{
    return info_of(code).name;
}

std::optional<result_code> result_code_of(int number)
{
    auto const code = static_cast<result_code>(number);
    auto const row = std::ranges::find(table, code, &result_code_info::code);
    if (row == table.end())
        return std::nullopt;
    return code;
}

int exit_code_of(result_code code)
{
    return static_cast<int>(code) / codes_per_class;
}

std::string_view name_of(ran_state ran)
{
    switch (ran)
    {
    case ran_state::not_run:
        return "not_run";
    case ran_state::ran:
        return "ran";
    case ran_state::unknown:
        break;
    }
    return "unknown";
}

std::optional<ran_state> ran_state_of(std::string_view name)
{
    for (auto const ran :
         {ran_state::not_run, ran_state::ran, ran_state::unknown})
    {
        if (name_of(ran) == name)
            return ran;
    }
    return std::nullopt;
}

} // namespace masticshift
