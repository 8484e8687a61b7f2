// Endpoints that come back under their id as another kind.

#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

constexpr auto required = "kind-a";

/// The endpoint answers as a new process; its record is still the former one.
endpoint_record restart(dispatcher_fixture& f, std::string const& id)
{
    auto& model = f.models.at(id);
    auto record = model.record();
    record.started_ms += 1;
    model.restart(record.started_ms);
    f.advance(milliseconds(10));
    f.tested.list_failed(id, order_response::connection_refused, f.now);
    f.read(id);
    f.read(id);
    return record;
}

job_spec job_with_label()
{
    auto spec = make_spec("a", 1);
    spec.steps[0].required_label = required;
    return spec;
}

endpoint_record with_label(endpoint_record record)
{
    record.labels.push_back(required);
    return record;
}

} // namespace

// Tasks started on the new process by the labels of the former one (ROUTE).
TEST_CASE("a restarted endpoint gets no task by the labels of the process "
          "before it")
{
    dispatcher_fixture f(1);
    f.tested.update_endpoint(with_label(f.models.at("e0").record()));
    auto const other_kind = restart(f, "e0");
    f.tested.submit(job_with_label(), "home", f.now);
    CHECK(f.tested.take_starts().empty());
    CHECK(f.tested.needs_records(f.now));
    f.tested.update_endpoint(other_kind);
    f.read("e0");
    f.advance(milliseconds(10));
    CHECK(f.tested.take_starts().empty());
    CHECK_FALSE(f.tested.needs_records(f.now));
}

TEST_CASE("a restarted endpoint takes work again once its record is known")
{
    dispatcher_fixture f(1);
    f.tested.update_endpoint(with_label(f.models.at("e0").record()));
    auto const record = with_label(restart(f, "e0"));
    f.tested.submit(job_with_label(), "home", f.now);
    CHECK(f.tested.take_starts().empty());
    f.tested.update_endpoint(record);
    f.read("e0");
    f.advance(milliseconds(10));
    CHECK(f.tested.take_starts().size() == 1);
}

TEST_CASE("a restarted endpoint with less capacity gets no more than fits")
{
    dispatcher_fixture f(1);
    auto smaller = restart(f, "e0");
    smaller.capacity.processor = 7'000;
    f.tested.submit(make_spec("a", 2), "home", f.now);
    CHECK(f.tested.take_starts().empty());
    f.tested.update_endpoint(smaller);
    f.read("e0");
    f.advance(milliseconds(10));
    CHECK(f.tested.take_starts().size() == 1);
}

TEST_CASE("a record that stays missing is not asked for without end")
{
    dispatcher_fixture f(1);
    restart(f, "e0");
    CHECK(f.tested.needs_records(f.now));
    f.advance(milliseconds(1'000));
    CHECK_FALSE(f.tested.needs_records(f.now));
}

// The order went to the next process, which had another clock, other labels and
// another capacity.
TEST_CASE("a start order names the process that it assumes, and is outdated "
          "once another one was listed")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].process_started_ms ==
          f.models.at("e0").record().started_ms);
    CHECK(f.tested.renew_unsent(starts[0]).has_value());
    restart(f, "e0");
    CHECK_FALSE(f.tested.renew_unsent(starts[0]).has_value());
}

TEST_CASE("a start order of a withdrawn job is outdated")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    f.tested.withdraw("a", "home", f.now);
    CHECK_FALSE(f.tested.renew_unsent(starts[0]).has_value());
}

// The restart shows when a connection is opened for the start.
TEST_CASE("a start that found another process is placed elsewhere at once, and "
          "the endpoint is listed before it takes work again")
{
    dispatcher_fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 1);
    f.tested.take_endpoints_to_poll();
    f.tested.start_answered(first[0], order_response::other_instance,
                            std::nullopt, f.now);
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].endpoint != first[0].endpoint);
    auto const polled = f.tested.take_endpoints_to_poll();
    CHECK(std::ranges::count(polled, first[0].endpoint) == 1);
    f.tested.submit(make_spec("b", 3), "home", f.now);
    for (auto const& order : f.tested.take_starts())
        CHECK(order.endpoint == again[0].endpoint);
}

TEST_CASE("a start that was outdated when it could be sent has not run")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 1);
    f.tested.start_answered(first[0], order_response::outdated, std::nullopt,
                            f.now);
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.number > first[0].run.number);
    CHECK(f.tested.status(f.now)[0].failures == 0);
}

TEST_CASE("a list order names the process whose clock and ends it assumes, and "
          "the one for any process assumes none")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    auto const renewal = f.tested.next_list("e0", f.now);
    REQUIRE(renewal.has_value());
    CHECK(renewal->lease_until.has_value());
    CHECK(renewal->process_started_ms == f.models.at("e0").record().started_ms);
    f.advance(run_time);
    f.read("e0");
    auto const acknowledgement = f.tested.next_list("e0", f.now);
    REQUIRE(acknowledgement.has_value());
    CHECK(acknowledgement->acknowledged_end > 0);
    CHECK(acknowledgement->process_started_ms != 0);
    auto const any = acknowledgement->for_any_process();
    CHECK(any.token == acknowledgement->token);
    CHECK(any.acknowledged_end == 0);
    CHECK_FALSE(any.lease_until.has_value());
    CHECK(any.process_started_ms == 0);
}

// A start waits for its connection to be identified while a lost list raises
// the token; with the former token the endpoint would reject it.
TEST_CASE(
    "a start that has not been sent when the token is raised is sent with "
    "the present one")
{
    dispatcher_fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const lost = f.tested.take_starts();
    REQUIRE(lost.size() == 1);
    auto const id = lost[0].endpoint;
    f.tested.start_answered(lost[0], order_response::unanswered, std::nullopt,
                            f.now);
    auto const repeated = f.tested.take_starts();
    REQUIRE(repeated.size() == 1);
    f.tested.list_failed(id, order_response::unanswered, f.now);
    REQUIRE(f.tested.token() > repeated[0].token);
    auto const renewed = f.tested.renew_unsent(repeated[0]);
    REQUIRE(renewed.has_value());
    CHECK(renewed->token == f.tested.token());
    // The list with the raised token arrives first.
    f.read(id);
    CHECK(f.tested.runs() == 1);
    CHECK(f.models.at(id).start(repeated[0], f.clock(), run_time, false) ==
          order_response::outranked);
    CHECK(f.models.at(id).start(*renewed, f.clock(), run_time, false) ==
          order_response::accepted);
    f.tested.start_answered(*renewed, order_response::accepted, f.clock(),
                            f.now);
    f.advance(run_time);
    f.read(id);
    CHECK(f.tested.take_finished().size() == 1);
}

// Tasks went back and forth to an endpoint that could not be reached.
TEST_CASE("an endpoint whose process could not be identified takes no work "
          "until it is listed, and loses trust after several such starts")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    for (unsigned failures : {0U, 0U, 1U})
    {
        auto const starts = f.tested.take_starts();
        REQUIRE(starts.size() == 1);
        f.tested.start_answered(starts[0], order_response::unidentified,
                                std::nullopt, f.now);
        CHECK(f.tested.status(f.now)[0].failures == failures);
        CHECK(f.tested.take_starts().empty());
        f.read("e0");
    }
}
