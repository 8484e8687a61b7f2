// Submissions that nobody waits for any more when they are read.

#include "deployment.hpp"
#include "peer_wire.hpp"

#include <peer_link/message_kind.hpp>
#include <peer_link/peer_client.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace masticshift;
using masticshift::gateway::deployment;

namespace
{

constexpr auto cell = "north/0/1";
constexpr milliseconds call_timeout{2'000};
constexpr milliseconds long_run{1'500};

/// One gateway with endpoints, and another entry that the test plays.
class two_entries
{
public:
    two_entries()
    {
        fixture_.add_endpoints("north", 2);
        fixture_.add_gateway("north", 0.25);
        REQUIRE(fixture_.run_until_ready(0));
        client_.emplace(fixture_.executor(), peer_link::peer_client_limits{},
                        1);
    }

    deployment& fixture()
    {
        return fixture_;
    }

    std::size_t starts()
    {
        return fixture_.platform().findings().starts;
    }

    using pending_result =
        std::shared_ptr<std::optional<peer_link::call_result>>;

    pending_result start(wire::message content)
    {
        auto result = std::make_shared<std::optional<peer_link::call_result>>();
        boost::asio::co_spawn(fixture_.executor(),
                              send(std::move(content), result),
                              boost::asio::detached);
        return result;
    }

    wire::message wait(pending_result const& result)
    {
        fixture_.run_until(
            [&]
            {
                return result->has_value();
            },
            call_timeout);
        REQUIRE(*result);
        REQUIRE((*result)->has_value());
        return (*result)->value();
    }

    wire::message call(wire::message content)
    {
        return wait(start(std::move(content)));
    }

    pending_result begin_submit(wire::dispatch_job job)
    {
        return start(peer_link::make_message(std::move(job)));
    }

    dispatch::job_result end_submit(pending_result const& result)
    {
        auto const answer = wait(result);
        last_reading_ = answer.dispatch_answer.reading;
        return gateway::from_wire(answer.dispatch_answer);
    }

    dispatch::job_result submit(wire::dispatch_job job)
    {
        return end_submit(begin_submit(std::move(job)));
    }

    void withdraw(std::int64_t submission)
    {
        wire::withdraw_job content;
        content.id = id;
        content.cell = cell;
        content.origin = origin();
        content.submission = submission;
        call(peer_link::make_message(std::move(content)));
    }

    /// A job with the newest reading of the gateway's clock.
    wire::dispatch_job make_job(std::int64_t submission)
    {
        wire::pulse beat;
        beat.sender = origin();
        auto const answer = call(peer_link::make_message(std::move(beat)));
        auto const& sender = answer.pulse_answer.beat.sender;
        wire::dispatch_job job;
        job.id = id;
        job.payload = "s";
        wire::dispatch_step step;
        step.task_count = 1;
        step.processor = 1'000;
        step.estimate_ms = 40;
        job.steps.push_back(step);
        job.queue = "q";
        job.service_name = "orders";
        job.max_attempts = 1;
        job.slack_factor = 50;
        job.target_latency_ms = 1'000;
        job.patience_ms = 2'000;
        job.origin = origin();
        job.cell = cell;
        job.submission = submission;
        wire::clock_reading reading;
        reading.incarnation = sender.incarnation;
        reading.clock_ms = answer.pulse_answer.beat.clock_ms;
        job.__set_last_reading(reading);
        return job;
    }

    wire::clock_reading const& last_reading() const
    {
        return last_reading_;
    }

    /// Sends a heartbeat with this reading of the gateway's clock.
    void beat(wire::clock_reading const& reading,
              std::vector<wire::withdrawn_job> const& withdrawals = {})
    {
        wire::pulse beat;
        beat.sender = origin();
        beat.__set_last_reading(reading);
        beat.withdrawals = withdrawals;
        call(peer_link::make_message(std::move(beat)));
    }

    /// Sends such heartbeats until the job has ended.
    void beat_until_ended(pending_result const& running,
                          wire::clock_reading const& reading)
    {
        auto const end = steady_clock::now() + call_timeout;
        while (!running->has_value() && steady_clock::now() < end)
        {
            beat(reading);
            fixture_.run(milliseconds(50));
        }
    }

    static wire::withdrawn_job make_withdrawal(std::int64_t submission)
    {
        wire::withdrawn_job withdrawal;
        withdrawal.id = id;
        withdrawal.cell = cell;
        withdrawal.submission = submission;
        return withdrawal;
    }

private:
    static constexpr auto id = "00000000000000aa";

    static wire::entry_record origin()
    {
        wire::entry_record entry;
        entry.address = "127.0.0.1:9";
        entry.incarnation = 1;
        entry.data_centre = "south";
        entry.processor = 250;
        return entry;
    }

    boost::asio::awaitable<void> send(wire::message content,
                                      pending_result result)
    {
        *result =
            co_await client_->call(fixture_.peer_address(0), std::move(content),
                                   steady_clock::now() + call_timeout);
    }

    deployment fixture_;
    std::optional<peer_link::peer_client> client_;
    wire::clock_reading last_reading_;
};

/// A caller that submits a job without waiting for the answer.
class impatient_caller
{
public:
    impatient_caller(config::socket_address const& address, unsigned number)
        : socket_(context_)
    {
        socket_.connect(
            {boost::asio::ip::make_address(address.ip), address.port});
        std::string const body =
            R"({"best_effort":true,"spec":"s",)"
            R"("steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":40}]})";
        std::string const id = "00000000000000b" + std::to_string(number);
        std::string const request =
            "POST /q/" + id +
            " HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 1500\r\n"
            "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(socket_, boost::asio::buffer(request));
    }

    void close()
    {
        socket_.close();
    }

    /// What has arrived.
    std::string read()
    {
        std::string answer(socket_.available(), '\0');
        boost::asio::read(socket_, boost::asio::buffer(answer));
        return answer;
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

} // namespace

// The job ran although its entry had given it up, beside its next submission.
TEST_CASE("a job that arrives after its withdrawal is refused and starts "
          "nothing")
{
    two_entries tested;
    auto const job = tested.make_job(1);
    tested.withdraw(1);
    auto const refused = tested.submit(job);
    CHECK(refused.end == dispatch::job_end::refused);
    CHECK(refused.reason == dispatch::end_reason::withdrawn);
    tested.fixture().run(milliseconds(200));
    CHECK(tested.starts() == 0);
    CHECK(tested.submit(tested.make_job(2)).end ==
          dispatch::job_end::completed);
}

// A job that was held up for longer than withdrawals are remembered ran too.
TEST_CASE("a job that was on its way for too long is refused and starts "
          "nothing, and is taken with the clock reading of the refusal")
{
    two_entries tested;
    auto job = tested.make_job(1);
    tested.fixture().run(milliseconds(500));
    auto const refused = tested.submit(job);
    CHECK(refused.end == dispatch::job_end::refused);
    CHECK(refused.reason == dispatch::end_reason::outdated);
    tested.fixture().run(milliseconds(100));
    CHECK(tested.starts() == 0);
    job.submission = 2;
    job.__set_last_reading(tested.last_reading());
    CHECK(tested.submit(job).end == dispatch::job_end::completed);
}

TEST_CASE("a job of an entry that has read no clock yet is refused as outdated")
{
    two_entries tested;
    auto job = tested.make_job(1);
    job.__set_last_reading(wire::clock_reading{});
    CHECK(tested.submit(job).reason == dispatch::end_reason::outdated);
    CHECK(tested.starts() == 0);
}

// A withdrawal that was held up ended the next submission of its job.
TEST_CASE("a withdrawal does not end a later submission of its job")
{
    two_entries tested;
    auto const running = tested.begin_submit(tested.make_job(2));
    tested.fixture().run(milliseconds(10));
    tested.withdraw(1);
    CHECK(tested.end_submit(running).end == dispatch::job_end::completed);
}

// Heartbeats that were held up kept the jobs of an entry that had gone.
TEST_CASE("a job whose entry's heartbeats carry no new clock reading is ended")
{
    two_entries tested;
    tested.fixture().platform().configure(2, long_run);
    auto job = tested.make_job(1);
    job.steps[0].estimate_ms = long_run.count();
    auto const reading = job.last_reading;
    auto const running = tested.begin_submit(job);
    tested.beat_until_ended(running, reading);
    CHECK(tested.end_submit(running).reason == dispatch::end_reason::withdrawn);
}

TEST_CASE("a withdrawal that comes with a heartbeat ends the job, and a later "
          "submission is taken")
{
    two_entries tested;
    tested.fixture().platform().configure(2, long_run);
    auto job = tested.make_job(1);
    job.steps[0].estimate_ms = long_run.count();
    auto const reading = job.last_reading;
    auto const running = tested.begin_submit(job);
    tested.fixture().run(milliseconds(10));
    tested.beat(reading, {tested.make_withdrawal(1)});
    CHECK(tested.end_submit(running).reason == dispatch::end_reason::withdrawn);
    tested.fixture().platform().configure(3, milliseconds(40));
    CHECK(tested.submit(tested.make_job(2)).end ==
          dispatch::job_end::completed);
}

// After a pause the requests of callers that had gone were dispatched before
// the ends of their connections were noticed.
TEST_CASE("an entry that was paused starts nothing for callers that have gone")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    for (unsigned number = 0; number < 4; ++number)
        impatient_caller(fixture.caller_address(0), number).close();
    std::this_thread::sleep_for(milliseconds(200));
    fixture.run(milliseconds(300));
    CHECK(fixture.platform().findings().starts == 0);
}

// The end of a connection may not reach the entry.
TEST_CASE(
    "an entry that was paused refuses requests that have waited too long, "
    "and takes new ones soon")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    impatient_caller waiting(fixture.caller_address(0), 0);
    std::this_thread::sleep_for(milliseconds(1'200));
    fixture.run(milliseconds(300));
    auto const answer = waiting.read();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
    CHECK(fixture.platform().findings().starts == 0);
    impatient_caller next(fixture.caller_address(0), 1);
    fixture.run(milliseconds(300));
    CHECK(next.read().starts_with("HTTP/1.1 200 "));
}
