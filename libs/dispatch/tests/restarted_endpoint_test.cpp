// Endpoints that come back under their id as another kind.

#include "dispatcher_fixture.hpp"

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
