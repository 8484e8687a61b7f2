#include "job_submission.hpp"

#include "random_id.hpp"

#include <store/timer_wait.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace masticshift::cli
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr unsigned status_ok = 200;

std::string output_lines(json::object const& body)
{
    std::string lines;
    auto const* const tasks = body.if_contains("tasks");
    if (tasks == nullptr || !tasks->is_array())
        return lines;
    for (auto const& task : tasks->as_array())
        lines += json::serialize(task) + "\n";
    return lines;
}

report report_of_answer(entry_answer answer)
{
    report result;
    result.code = answer.code;
    result.detail = std::move(answer.detail);
    if (answer.code == result_code::ok)
        result.text = output_lines(answer.body);
    result.fields = std::move(answer.body);
    return result;
}

/// Extracts the home token from the response to `GET /v1/home`.
outcome<std::string> parse_home(std::string const& name,
                                transport::http_response const& response)
{
    boost::system::error_code error;
    auto const parsed = json::parse(response.body, error);
    auto const* const body = error ? nullptr : parsed.if_object();
    auto const* const home = body ? body->if_contains("home") : nullptr;
    if (response.status != status_ok || !home || !home->is_string())
    {
        return failure{result_code::io_error,
                       name + ": HTTP status " +
                           std::to_string(response.status) +
                           " without a home token"};
    }
    auto const* const ready = body->if_contains("ready");
    if (ready != nullptr && ready->is_bool() && !ready->as_bool())
        return failure{result_code::not_ready, name + " is not ready"};
    return std::string(home->as_string());
}

void print_progress(std::string const& text)
{
    std::fprintf(stderr, "masticshift: %s\n", text.c_str());
}

} // namespace

job_submission::job_submission(session& calls, options const& command_line,
                               json::array tasks, submit_limits limits)
    : calls_(calls),
      command_line_(command_line),
      tasks_(std::move(tasks)),
      limits_(limits)
{
}

asio::awaitable<report> job_submission::run(time_point now)
{
    start_ = now;
    if (!command_line_.id.empty())
    {
        set_id(command_line_.id, now);
        // An earlier run of this program may have sent this id.
        sent_before_ = true;
    }
    store::timer_wait const wait;
    for (unsigned i = 0; i < limits_.attempts; ++i)
    {
        if (i > 0)
            co_await wait(retry_delay_before(i));
        auto const step = co_await attempt(steady_clock::now());
        if (step == submit_step::finish)
            co_return std::move(last_);
        if (step == submit_step::renew_id)
            discard_id();
        use_next_entry();
        if (is_past_deadline(steady_clock::now()))
            break;
    }
    co_return final_report();
}

asio::awaitable<submit_step> job_submission::attempt(time_point now)
{
    if (id_.empty())
    {
        auto const home = co_await fetch_home();
        if (!home)
        {
            record_failure(home.error());
            co_return submit_step::renew_id;
        }
        set_id(*home + "." + random_id(), now);
    }
    else if (sent_before_)
    {
        print_progress("submitting " + id_ + " to " +
                       config::to_string(entry()));
    }
    auto const outcome = co_await send();
    auto const step = next_step(outcome, sent_before_);
    if (outcome.end != call_end::not_sent)
        sent_before_ = true;
    co_return step;
}

asio::awaitable<outcome<std::string>> job_submission::fetch_home()
{
    auto const name = config::to_string(entry());
    transport::http_request request;
    request.target = "/v1/home";
    auto const answer =
        co_await calls_.call(entry(), request, limits_.home_timeout);
    if (!answer)
        co_return make_call_error(name, answer.error());
    co_return parse_home(name, *answer);
}

asio::awaitable<call_outcome> job_submission::send()
{
    transport::http_request request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.fields.set("Content-Type", "application/json");
    request.body = body_;
    auto const result =
        co_await calls_.call(entry(), request, answer_timeout());
    co_return record_result(result);
}

call_outcome job_submission::record_result(transport::call_result const& result)
{
    auto const name = config::to_string(entry());
    if (!result)
    {
        record_failure(make_call_error(name, result.error()));
        bool const sent =
            result.error().stage == transport::call_stage::written;
        return {sent ? call_end::no_answer : call_end::not_sent,
                result_code::io_error, ran_state::unknown};
    }
    auto answer = parse_entry_answer(*result);
    if (!answer)
    {
        record_failure(
            {result_code::io_error, name + ": HTTP status " +
                                        std::to_string(result->status) +
                                        " without a job result"});
        return {call_end::no_answer, result_code::io_error, ran_state::unknown};
    }
    call_outcome const outcome{call_end::answered, answer->code, answer->ran};
    last_ = report_of_answer(std::move(*answer));
    return outcome;
}

void job_submission::set_id(std::string const& id, time_point now)
{
    id_ = id;
    sent_before_ = false;
    json::object body{
        {"id", id_}, {"service", command_line_.service}, {"tasks", tasks_}};
    if (command_line_.timeout > milliseconds::zero())
    {
        auto const left = std::chrono::ceil<milliseconds>(
            start_ + command_line_.timeout - now);
        body["timeout_ms"] = std::max<std::int64_t>(left.count(), 1);
    }
    body_ = json::serialize(body);
}

void job_submission::discard_id()
{
    if (!id_.empty())
        print_progress(id_ + " did not run; the next attempt uses a new id");
    id_.clear();
    sent_before_ = false;
}

void job_submission::use_next_entry()
{
    entry_ = (entry_ + 1) % command_line_.entries.size();
}

void job_submission::record_failure(failure const& error)
{
    last_ = report_of(error);
}

bool job_submission::is_past_deadline(time_point now) const
{
    return command_line_.timeout > milliseconds::zero() &&
           now >= start_ + command_line_.timeout + limits_.answer_grace;
}

config::socket_address const& job_submission::entry() const
{
    return command_line_.entries[entry_];
}

milliseconds job_submission::retry_delay_before(unsigned attempt) const
{
    auto delay = limits_.first_retry_delay;
    for (unsigned i = 1; i < attempt && delay < limits_.max_retry_delay; ++i)
        delay *= 2;
    return std::min(delay, limits_.max_retry_delay);
}

milliseconds job_submission::answer_timeout() const
{
    if (command_line_.timeout == milliseconds::zero())
        return limits_.default_answer_timeout;
    return command_line_.timeout + limits_.answer_grace;
}

report job_submission::final_report() const
{
    if (!sent_before_)
        return last_;
    report result;
    result.code = result_code::outcome_unknown;
    result.detail = last_.detail + "; no final answer for " + id_ +
                    "; submit the job again with --id to learn the outcome";
    result.fields["id"] = id_;
    result.fields["ran"] = name_of(ran_state::unknown);
    return result;
}

} // namespace masticshift::cli
