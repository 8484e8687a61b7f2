#include "standin_endpoint.hpp"

#include <algorithm>
#include <array>
#include <chrono>

namespace masticshift::test_support
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_misdirected = 421;

/// Statuses that do not say whether an order was carried out.
constexpr std::array<unsigned, 6> odd_statuses{500, 502, 504, 202, 404, 302};

constexpr int max_order_delay_ms = 4'000;

/// Percentage of the orders to an endpoint in `held_endpoints` that are held
/// up, and how long after the fault they arrive at the latest.
constexpr int held_percent = 50;
constexpr int max_held_delay_ms = 2'000;

/// How often an endpoint that must not respond checks whether the fault has
/// ended.
constexpr milliseconds fault_poll_interval{300};

std::string task_of(json::object const& body)
{
    return std::string(body.at("task").as_string());
}

} // namespace

bool shared_endpoint_state::chance(int percent)
{
    return std::uniform_int_distribution(0, 99)(random) < percent;
}

int shared_endpoint_state::pick(int max)
{
    return std::uniform_int_distribution(0, max)(random);
}

standin_endpoint::standin_endpoint(
    asio::any_io_executor executor,
    std::shared_ptr<shared_endpoint_state> shared_state,
    dispatch::endpoint_record record, double speed, double clock_rate)
    : executor_(std::move(executor)),
      shared_state_(std::move(shared_state)),
      model_(std::move(record)),
      speed_(speed),
      clock_rate_(clock_rate),
      clock_start_(steady_clock::now())
{
}

outcome<void> standin_endpoint::listen(std::uint16_t port)
{
    server_ = std::make_unique<transport::http_server>(
        executor_, transport::http_server_limits{},
        [self = weak_from_this()](transport::http_request request)
        {
            return handle(self.lock(), std::move(request));
        },
        make_error_response);
    return server_->listen("127.0.0.1", port);
}

std::int64_t standin_endpoint::clock_ms() const
{
    constexpr std::int64_t first_ms = 1'000;
    auto const elapsed = (steady_clock::now() - clock_start_) * clock_rate_;
    return first_ms + std::chrono::duration_cast<milliseconds>(elapsed).count();
}

std::string standin_endpoint::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

std::string standin_endpoint::next_row()
{
    auto const& record = model_.record();
    json::object row;
    row["service"] = record.service;
    row["address"] =
        published_address_.empty() ? address() : published_address_;
    row["zone"] = record.data_centre;
    row["version"] = "v1";
    row["slots"] = record.slots;
    row["state"] = draining_since_ ? "draining" : "ready";
    row["cold_left_ms"] = 0;
    row["seq"] = ++sequence_;
    row["born"] = record.started_ms;
    row["machine"] = record.vm;
    row["capacity"] = json::object{{"cpu", record.capacity.processor},
                                   {"mem_mb", record.capacity.memory_mb},
                                   {"gpu", record.capacity.accelerators}};
    row["labels"] = json::value_from(record.labels);
    return json::serialize(row);
}

void standin_endpoint::set_draining(bool draining)
{
    if (!draining)
        draining_since_.reset();
    else if (!draining_since_)
        draining_since_ = steady_clock::now();
}

void standin_endpoint::restart()
{
    model_.restart(model_.record().started_ms + 1);
    clock_start_ = steady_clock::now();
    draining_since_.reset();
    listed_ = false;
    // The connections end with the process.
    auto const port = server_->port();
    server_->stop();
    listen(port).value();
}

void standin_endpoint::restart_as(std::vector<std::string> labels,
                                  std::int64_t processor)
{
    model_.set_kind(std::move(labels), processor);
    restart();
}

std::size_t standin_endpoint::runs_of(std::string const& task)
{
    return static_cast<std::size_t>(
        std::ranges::count(model_.running_tasks(clock_ms()), task));
}

bool standin_endpoint::holds_orders() const
{
    return shared_state_->faults->held_endpoints.contains(model_.record().id);
}

asio::awaitable<standin_response>
standin_endpoint::handle(std::shared_ptr<standin_endpoint> self,
                         transport::http_request request)
{
    auto& shared_state = *self->shared_state_;
    while (shared_state.faults->silent_endpoints.contains(
        self->model_.record().id))
        co_await wait_for(fault_poll_interval);
    auto const expected = request.fields["X-Expect-Instance"];
    if (!expected.empty() && expected != self->model_.record().id)
        co_return make_response(status_misdirected, {});
    auto const body = json::parse(request.body).as_object();
    auto const path = std::string(transport::path_of(request.target));
    if (path == "/hold")
        co_return co_await list_runs(self, body);
    if (path == "/run-start" && !self->listed_)
        shared_state.on_unlisted_start(self->model_.record().id, task_of(body));
    if (self->holds_orders() && shared_state.chance(held_percent))
    {
        while (self->holds_orders())
            co_await wait_for(standin_poll_interval);
        co_return co_await carry_out_late(self, path, body, max_held_delay_ms);
    }
    // Draws nothing where the fault is off: seeded tests stay the same.
    auto const odd = shared_state.faults->odd_statuses;
    if (odd > 0 && shared_state.chance(odd))
    {
        self->carry_out(path, body);
        co_return make_response(
            odd_statuses.at(static_cast<std::size_t>(
                shared_state.pick(static_cast<int>(odd_statuses.size()) - 1))),
            {});
    }
    if (!shared_state.chance(shared_state.faults->lost_orders))
        co_return self->carry_out(path, body);
    auto const late = shared_state.chance(shared_state.faults->late_orders);
    co_return co_await carry_out_late(self, path, body,
                                      late ? max_order_delay_ms : 0);
}

asio::awaitable<standin_response>
standin_endpoint::carry_out_late(std::shared_ptr<standin_endpoint> self,
                                 std::string path, json::object body,
                                 int longest_ms)
{
    auto& shared_state = *self->shared_state_;
    co_await wait_for(
        milliseconds(longest_ms > 0 ? shared_state.pick(longest_ms) : 0));
    self->carry_out(path, body);
    co_return std::nullopt;
}

standin_response standin_endpoint::carry_out(std::string const& path,
                                             json::object const& body)
{
    dispatch::run_key const run{task_of(body), number_in(body, "run")};
    auto const token = number_in(body, "fencing_token");
    if (path == "/run-stop")
        return order_response(
            model_.stop({model_.record().id, run, token}, clock_ms()));
    return start(run, token, number_in(body, "until_ms"));
}

standin_response standin_endpoint::start(dispatch::run_key const& run,
                                         std::int64_t token,
                                         std::int64_t lease_until)
{
    auto const now = clock_ms();
    auto const max_runs = static_cast<std::size_t>(
        model_.record().capacity.processor / task_processor);
    if (model_.running() >= max_runs)
    {
        shared_state_->on_rejected_for_room();
        return refusal("room");
    }
    auto const length = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(shared_state_->run_time) /
        speed_);
    auto const before = model_.starts().size();
    auto const id = model_.record().id;
    auto const result =
        model_.start({id, run, "", lease_until, token}, now, length,
                     shared_state_->chance(shared_state_->faults->failed_runs));
    if (model_.starts().size() > before)
        shared_state_->on_started(id, run.task);
    return order_response(result);
}

transport::http_response standin_endpoint::refusal(char const* reason) const
{
    return make_response(status_conflict,
                         {{"clock_ms", clock_ms()}, {"reason", reason}});
}

transport::http_response
standin_endpoint::order_response(dispatch::order_response result) const
{
    switch (result)
    {
    case dispatch::order_response::outranked:
        return refusal("fence");
    case dispatch::order_response::run_too_old:
        return refusal("old");
    case dispatch::order_response::too_late:
        return refusal("late");
    default:
        return make_response(status_ok, {{"clock_ms", clock_ms()}});
    }
}

asio::awaitable<standin_response>
standin_endpoint::list_runs(std::shared_ptr<standin_endpoint> self,
                            json::object body)
{
    dispatch::list_order order;
    order.token = number_in(body, "fencing_token");
    order.acknowledged_end = number_in(body, "last_seen");
    if (body.contains("until_ms"))
        order.lease_until = number_in(body, "until_ms");
    if (!self->listed_ && (order.lease_until || order.acknowledged_end > 0))
        self->shared_state_->on_unlisted_renewal(self->model_.record().id);
    auto const until =
        steady_clock::now() + milliseconds(number_in(body, "wait_ms"));
    auto const process = self->model_.record().started_ms;
    for (;;)
    {
        // The next process knows nothing of this call.
        if (self->model_.record().started_ms != process)
            co_return std::nullopt;
        dispatch::run_list list;
        auto const result = self->model_.list(order, self->clock_ms(), list);
        if (result != dispatch::order_response::accepted)
            co_return self->order_response(result);
        self->listed_ = true;
        if (!list.ended.empty() || steady_clock::now() >= until)
            co_return self->list_response(list);
        co_await wait_for(standin_poll_interval);
    }
}

transport::http_response
standin_endpoint::list_response(dispatch::run_list const& list) const
{
    auto const odd_lists = shared_state_->faults->odd_lists;
    bool const odd = odd_lists > 0 && shared_state_->chance(odd_lists);
    json::array running;
    for (auto const& run : list.active)
    {
        if (odd)
            running.push_back(json::array{run.run.task, nullptr});
        else
            running.push_back(
                json::array{run.run.task, run.run.number, "", run.percent});
    }
    json::array ended;
    for (auto const& run : list.ended)
        ended.push_back(json::array{run.number, run.run.task, run.run.number,
                                    dispatch::name_of(run.end), ""});
    return make_response(status_ok, {{"clock_ms", clock_ms()},
                                     {"born", list.started_ms},
                                     {"running", std::move(running)},
                                     {"ended_runs", std::move(ended)}});
}

} // namespace masticshift::test_support
