#include "configuration_holder.hpp"
#include "peer_api.hpp"
#include "runner_fixture.hpp"
#include "submission_service.hpp"

#include <peer_link/message_kind.hpp>

using namespace runner_test;
using homes::call_origin;

namespace
{

std::string make_text(std::uint16_t port)
{
    return "[data_centre.dc]\nregion = \"r\"\n[endpoint.one]\naddress = "
           "\"127.0.0.1:" +
           std::to_string(port) +
           "\"\ndata_centre = \"dc\"\n[service.echo]\nendpoints = [\"one\"]\n"
           "run_time_ms = 1\n";
}

config::daemon_settings make_settings()
{
    config::daemon_settings settings;
    settings.entry.data_centre = "dc";
    settings.entry.peer_address = {loopback, 1};
    return settings;
}

/// The services of an entry without its loops and servers.
struct service_fixture
{
    service_fixture()
        : endpoint(context.get_executor(),
                   [this](http_request const&)
                   {
                       return endpoint.never_respond();
                   }),
          state(make_settings()),
          client(context.get_executor(), {}),
          peers(context.get_executor(), {}, state.self.incarnation),
          runner(context.get_executor(), state.engine, client, state.metrics,
                 make_hooks()),
          submissions(context.get_executor(), state, runner, peers),
          holder(state, runner),
          api(state, submissions, runner,
              [](wire::heartbeat const&) -> outcome<wire::heartbeat_reply>
              {
                  return failure{result_code::peer_protocol, "unused"};
              })
    {
        auto const now = steady_clock::now();
        REQUIRE(holder.put_in_force(1, make_text(endpoint.port()), "test", now)
                    .has_value());
        placement::live_entry self;
        self.address = state.self.address;
        self.data_centre = "dc";
        state.engine.set_entries({self}, now);
    }

    job_runner::hooks make_hooks()
    {
        job_runner::hooks hooks;
        hooks.ended = [this](job& ended)
        {
            submissions.keep_answer(ended);
            waiters = ended.ended_event.cancel();
        };
        hooks.borrow = [](placement::borrow_request const&) {};
        hooks.give_back = [](placement::returned_loans const&) {};
        return hooks;
    }

    std::string new_id(std::string nonce) const
    {
        return homes::to_string(homes::submission_id{
            state.table.current_token(), std::move(nonce)});
    }

    /// Runs one coroutine until it ends.
    template <class T>
    T run(asio::awaitable<T> body)
    {
        std::optional<T> result;
        start_call(std::move(body), result);
        run_until(
            [&]
            {
                return result.has_value();
            });
        return *result;
    }

    template <class T>
    void start_call(asio::awaitable<T> body, std::optional<T>& result)
    {
        asio::co_spawn(context, std::move(body),
                       [&](std::exception_ptr const& thrown, T value)
                       {
                           CHECK_FALSE(thrown);
                           result = std::move(value);
                       });
    }

    void run_until(std::function<bool()> const& holds)
    {
        auto const until = steady_clock::now() + wait_timeout;
        while (!holds())
        {
            REQUIRE(steady_clock::now() < until);
            context.restart();
            context.run_one_for(wait_timeout);
        }
    }

    /// Submits a job whose task never ends, and waits until the endpoint has
    /// received the task.
    void start_job(std::string const& id, std::optional<call_answer>& result)
    {
        submission_call call;
        call.body =
            R"({"id":")" + id + R"(","service":"echo","tasks":[{"input":1}]})";
        start_call(submissions.submit(call, call_origin::caller), result);
        run_until(
            [&]
            {
                return !endpoint.tasks.empty();
            });
    }

    wire::forward_reply forward(wire::forward call)
    {
        auto message = peer_link::make_message(std::move(call));
        return run(api.handle(std::move(message))).forward_answer;
    }

    /// Number of waits that were pending on the last job when it ended.
    std::size_t waiters = 0;
    asio::io_context context;
    fake_endpoint endpoint;
    entry_state state;
    transport::http_client client;
    peer_link::peer_client peers;
    job_runner runner;
    submission_service submissions;
    configuration_holder holder;
    peer_api api;
};

wire::forward make_fetch(std::string const& id, std::int32_t wait_ms)
{
    wire::forward call;
    call.__set_kind(wire::forward_kind::fetch);
    call.__set_id(id);
    call.__set_wait_ms(wait_ms);
    return call;
}

} // namespace

TEST_CASE("a lower revision is never put in force")
{
    service_fixture f;
    auto const now = steady_clock::now();
    auto const text = make_text(f.endpoint.port());
    CHECK(f.holder.put_in_force(3, text, "test", now).has_value());
    CHECK(f.holder.revision() == 3);
    auto const other = text + "# other\n";
    CHECK(f.holder.put_in_force(2, other, "test", now).has_value());
    CHECK(f.holder.put_in_force(3, other, "test", now).has_value());
    CHECK(f.holder.revision() == 3);
    CHECK(f.state.configuration->text == text);
    CHECK_FALSE(f.holder.put_in_force(4, "bogus = 1", "test", now).has_value());
    CHECK(f.holder.revision() == 3);
    CHECK(f.state.configuration->text == text);
}

TEST_CASE("a fetch waits for a running job and a cancellation ends it")
{
    service_fixture f;
    auto const id = f.new_id("nonce");
    std::optional<call_answer> first;
    f.start_job(id, first);
    constexpr milliseconds short_wait{1};
    auto const open =
        f.run(f.submissions.fetch(id, short_wait, call_origin::caller));
    CHECK(open.answer->http_status == 202);
    std::optional<call_answer> waiting;
    f.start_call(f.submissions.fetch(id, wait_timeout, call_origin::caller),
                 waiting);
    auto const ended = f.run(f.submissions.cancel(id, call_origin::caller));
    CHECK(ended.answer->code == result_code::cancelled);
    CHECK(ended.answer->ran == ran_state::unknown);
    f.run_until(
        [&]
        {
            return first && waiting;
        });
    CHECK(first->answer == ended.answer);
    CHECK(waiting->answer == ended.answer);
    auto const again = f.run(f.submissions.cancel(id, call_origin::caller));
    CHECK(again.answer == ended.answer);
}

TEST_CASE("a fetch that times out leaves no wait on the job behind")
{
    service_fixture f;
    auto const id = f.new_id("nonce");
    std::optional<call_answer> first;
    f.start_job(id, first);
    constexpr milliseconds short_wait{1};
    for (int i = 0; i < 3; ++i)
        f.run(f.submissions.fetch(id, short_wait, call_origin::caller));
    f.run(f.submissions.cancel(id, call_origin::caller));
    // The wait of the submission itself.
    CHECK(f.waiters == 1);
}

TEST_CASE("calls of peers with invalid fields are refused without effect")
{
    service_fixture f;
    auto const id = f.new_id("nonce");
    std::optional<call_answer> first;
    f.start_job(id, first);
    for (auto const wait_ms : {-1, 60'001})
    {
        auto const answer = f.forward(make_fetch(id, wait_ms));
        CHECK(answer.code == static_cast<int>(result_code::malformed_request));
        CHECK(answer.ran == "unknown");
    }
    // A kind unknown to this version must not cancel the job.
    for (auto const kind : {0, 4, -1})
    {
        auto call = make_fetch(id, 1);
        call.__set_kind(kind);
        CHECK(f.forward(call).code ==
              static_cast<int>(result_code::malformed_request));
    }
    wire::forward submit;
    submit.__set_kind(wire::forward_kind::submit);
    submit.__set_id(f.new_id("late"));
    submit.__set_request_service("echo");
    submit.__set_timeout_ms(-1);
    CHECK(f.forward(submit).code ==
          static_cast<int>(result_code::malformed_request));
    CHECK_FALSE(first);
    CHECK(f.runner.running_jobs() == 1);
}

TEST_CASE("a call forwarded by a peer is not forwarded again")
{
    service_fixture f;
    auto const answer =
        f.forward(make_fetch("127.0.0.1:9~0000000000000001~1.nonce", 1));
    CHECK(answer.code == static_cast<int>(result_code::home_unreachable));
    CHECK(answer.ran == "unknown");
}
