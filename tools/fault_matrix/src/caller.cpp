#include "caller.hpp"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/json.hpp>

namespace masticshift::fault_matrix
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned attempts = 6;
constexpr unsigned job_task_count = 3;
constexpr unsigned timeout_ms = 2'500;
/// So short that an entry refuses the submission on arrival.
constexpr unsigned too_short_timeout_ms = 1;
/// Longer than a forwarded call may take.
constexpr milliseconds call_timeout{6'000};
constexpr milliseconds home_timeout{1'000};
constexpr milliseconds retry_pause{50};
constexpr milliseconds submission_pause{5};
constexpr unsigned min_run_ms = 2;
constexpr unsigned max_run_ms = 40;

// Every n-th submission is of this kind: sent to two entries at the same time,
// resubmitted after its answer, sent with a timeout that is too short, or sent
// to a service that is not configured.
constexpr unsigned duplicated_every = 4;
constexpr unsigned resubmitted_every = 5;
constexpr unsigned too_short_every = 6;
constexpr unsigned unknown_service_every = 11;

bool is_settled(history::call_answered const& answer)
{
    return answer.code == result_code::ok || answer.ran == ran_state::not_run ||
           answer.ran == ran_state::ran;
}

} // namespace

caller::caller(load_state& state, unsigned number, unsigned seed)
    : state_(state),
      name_("caller-" + std::to_string(number)),
      random_(seed * 1'000 + number),
      entry_(number % state.entries.size())
{
}

asio::awaitable<void> caller::run()
{
    while (!state_.stopping && submissions_ < state_.max_submissions)
    {
        ++submissions_;
        if (token_.empty())
            co_await learn_home();
        if (!token_.empty())
            co_await submit_next();
        co_await pause(submission_pause);
    }
    ++state_.finished_callers;
}

asio::awaitable<void> caller::learn_home()
{
    auto const address = state_.entries[entry_];
    // A named variable, because GCC 12 destroys such a temporary within a
    // co_await expression twice.
    transport::http_request request;
    request.target = "/v1/home";
    auto const answer = co_await state_.client.call(
        address.ip, address.port, std::move(request),
        steady_clock::now() + home_timeout);
    if (answer)
        token_ = answer->fields["Masticshift-Home"];
    else
        entry_ = other_entry();
}

asio::awaitable<void> caller::submit_next()
{
    auto const submitted = make_submission();
    auto const running = state_.running.insert(submitted.id);
    co_await settle(submitted);
    state_.running.erase(running);
    ++state_.settled;
    // The home must keep the outcome of every submission, refusals included:
    // a resubmission with a longer timeout must not run it.
    if (submissions_ % resubmitted_every == 0 ||
        submissions_ % too_short_every == 0)
    {
        auto resubmission = submitted;
        if (resubmission.kind == history::call_kind::request)
            resubmission.timeout_ms = timeout_ms;
        co_await attempt(std::move(resubmission), other_entry());
    }
}

asio::awaitable<void> caller::settle(submission submitted)
{
    using namespace asio::experimental::awaitable_operators;
    for (unsigned i = 0; i < attempts; ++i)
    {
        std::optional<history::call_answered> answer;
        if (i == 0 && submissions_ % duplicated_every == 0)
        {
            auto const [first, second] =
                co_await (attempt(submitted, entry_) &&
                          attempt(submitted, other_entry()));
            answer = first ? first : second;
        }
        else
        {
            answer = co_await attempt(submitted, entry_);
        }
        if (answer && is_settled(*answer))
            co_return;
        entry_ = other_entry();
        co_await pause(retry_pause);
    }
    token_.clear();
}

asio::awaitable<std::optional<history::call_answered>>
caller::attempt(submission submitted, std::size_t entry)
{
    auto const address = state_.entries[entry];
    auto const call = ++last_call_;
    auto request = to_request(submitted);
    state_.records.write(name_, to_event(submitted, call, to_string(address)));
    auto const answer = co_await state_.client.call(
        address.ip, address.port, std::move(request),
        steady_clock::now() + call_timeout);
    if (!answer)
    {
        record_failure(submitted, call, answer.error());
        co_return std::nullopt;
    }
    auto const answered = to_event(submitted, call, *answer);
    state_.records.write(name_, answered);
    auto const home = answer->fields["Masticshift-Home"];
    if (!home.empty())
        token_ = home;
    co_return answered;
}

void caller::record_failure(submission const& submitted, std::uint64_t call,
                            transport::call_failure const& failed)
{
    bool const timed_out = failed.error.code == result_code::deadline_passed;
    if (failed.stage == transport::call_stage::written && !timed_out)
        state_.records.write(name_, history::call_broken{call, submitted.id});
}

submission caller::make_submission()
{
    submission result;
    result.id = token_ + "." + name_ + "-" + std::to_string(submissions_);
    result.service = random_() % 2 == 0 ? "stock" : "orderdesk";
    result.timeout_ms = timeout_ms;
    bool const is_job = random_() % 2 == 0;
    result.kind =
        is_job ? history::call_kind::job : history::call_kind::request;
    result.idempotent = !is_job && random_() % 2 == 0;
    for (unsigned i = 0; i < (is_job ? job_task_count : 1); ++i)
        result.inputs.push_back(make_input(i));
    if (submissions_ % too_short_every == 0)
        result.timeout_ms = too_short_timeout_ms;
    if (submissions_ % unknown_service_every == 0)
        result.service = "absent";
    return result;
}

std::string caller::make_input(unsigned task)
{
    auto const span = max_run_ms - min_run_ms;
    boost::json::object input;
    input["caller"] = name_;
    input["submission"] = submissions_;
    input["task"] = task;
    input["run_ms"] = min_run_ms + random_() % span;
    return boost::json::serialize(input);
}

std::size_t caller::other_entry()
{
    auto const count = state_.entries.size();
    return (entry_ + 1 + random_() % (count - 1)) % count;
}

asio::awaitable<void> caller::pause(milliseconds length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace masticshift::fault_matrix
