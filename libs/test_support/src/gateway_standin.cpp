#include <test_support/gateway_standin.hpp>

#include "standin_endpoint.hpp"
#include "standin_store.hpp"

#include <algorithm>
#include <chrono>

namespace masticshift::test_support
{

namespace
{

/// How often endpoints write their rows.
constexpr milliseconds registration_interval{300};

std::int64_t unix_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace

transport::http_request make_job_request(std::string const& id, int tasks,
                                         milliseconds timeout)
{
    transport::http_request request;
    request.method = "POST";
    request.target = "/q/" + id;
    request.fields.set("Host", "jobs.example");
    request.fields.set("X-Deadline-Ms", std::to_string(timeout.count()));
    json::object step;
    step["count"] = tasks;
    step["cpu"] = task_processor;
    step["mem_mb"] = 64;
    step["estimate_ms"] = 60;
    json::object body;
    body["best_effort"] = true;
    body["spec"] = "s";
    body["steps"] = json::array{std::move(step)};
    request.body = json::serialize(body);
    return request;
}

class gateway_standin::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::any_io_executor of, unsigned seed)
        : executor(std::move(of)),
          store(std::make_shared<standin_store>(executor, shared_state->faults))
    {
        shared_state->random.seed(seed);
        shared_state->on_started =
            [this](std::string const& id, std::string const& task)
        {
            record_start(id, task);
        };
        shared_state->on_unlisted_start =
            [this](std::string const& id, std::string const& task)
        {
            findings.unlisted_starts.push_back(task + " on " + id);
        };
        shared_state->on_rejected_for_room = [this]
        {
            ++findings.rejected_for_room;
        };
        shared_state->on_unlisted_renewal = [this](std::string const& id)
        {
            findings.unlisted_renewals.push_back(id);
        };
    }

    void register_endpoint(std::string const& id)
    {
        store->write("servers", id, endpoints.at(id)->next_row());
    }

    static asio::awaitable<void> keep_registered(std::weak_ptr<impl> weak,
                                                 std::string id)
    {
        for (;;)
        {
            {
                auto const self = weak.lock();
                if (!self)
                    co_return;
                if (!self->shared_state->faults->silent_endpoints.contains(id))
                    self->register_endpoint(id);
            }
            co_await wait_for(registration_interval);
        }
    }

    asio::any_io_executor executor;
    std::shared_ptr<shared_endpoint_state> shared_state =
        std::make_shared<shared_endpoint_state>();
    platform_findings findings;
    std::shared_ptr<standin_store> store;
    std::map<std::string, std::shared_ptr<standin_endpoint>> endpoints;
    /// By evacuated data centre: when its row was written.
    std::map<std::string, time_point> evacuated_since;

private:
    void record_start(std::string const& id, std::string const& task)
    {
        ++findings.starts;
        findings.last_started_on = id;
        auto const draining = endpoints.at(id)->draining_since();
        if (draining && steady_clock::now() - *draining > drain_limit)
            findings.late_starts.push_back(task + " on " + id);
        auto const& data_centre = endpoints.at(id)->data_centre();
        ++findings.starts_in[data_centre];
        auto const evacuated = evacuated_since.find(data_centre);
        if (evacuated != evacuated_since.end() &&
            steady_clock::now() -
                    std::max(evacuated->second, store->unavailable_at()) >
                evacuation_limit)
            findings.evacuated_starts.push_back(task + " on " + id);
        findings.started_jobs.insert(task.substr(0, task.find('.')));
        for (auto& [other, each] : endpoints)
        {
            // The run that has just started is one of those on its endpoint.
            std::size_t const expected = other == id ? 1 : 0;
            if (each->runs_of(task) > expected)
            {
                auto finding = task;
                finding.append(" on ").append(id).append(" and ").append(other);
                findings.concurrent_runs.push_back(std::move(finding));
            }
        }
    }
};

gateway_standin::gateway_standin(asio::any_io_executor executor, unsigned seed)
    : impl_(std::make_shared<impl>(std::move(executor), seed))
{
}

gateway_standin::~gateway_standin()
{
    // Calls that still wait own their endpoint and the shared state, but not
    // `impl_`, which the callback refers to.
    auto const ignore = [](std::string const&, std::string const&) {};
    impl_->shared_state->on_started = ignore;
    impl_->shared_state->on_unlisted_start = ignore;
    impl_->shared_state->on_unlisted_renewal = [](std::string const&) {};
    impl_->shared_state->on_rejected_for_room = [] {};
}

outcome<void> gateway_standin::start_store(std::uint16_t port)
{
    return impl_->store->listen(port);
}

std::uint16_t gateway_standin::store_port() const
{
    return impl_->store->port();
}

outcome<void> gateway_standin::add_endpoint(std::string const& id,
                                            std::string const& data_centre,
                                            double speed, double clock_rate)
{
    dispatch::endpoint_record record;
    record.id = id;
    record.vm = "vm-" + id;
    record.service = "orders";
    record.data_centre = data_centre;
    record.capacity = {16'000, 32'768, 0};
    record.labels = {"a", "rack-1"};
    record.slots = 8;
    record.started_ms = unix_ms();
    auto const endpoint = std::make_shared<standin_endpoint>(
        impl_->executor, impl_->shared_state, std::move(record), speed,
        clock_rate);
    impl_->endpoints[id] = endpoint;
    auto listening = endpoint->listen();
    asio::co_spawn(impl_->executor, impl::keep_registered(impl_, id),
                   asio::detached);
    return listening;
}

std::uint16_t gateway_standin::endpoint_port(std::string const& id) const
{
    return impl_->endpoints.at(id)->port();
}

void gateway_standin::publish_address(std::string const& id,
                                      std::string const& address)
{
    impl_->endpoints.at(id)->publish_address(address);
    impl_->register_endpoint(id);
}

void gateway_standin::drain_endpoint(std::string const& id)
{
    impl_->endpoints.at(id)->set_draining(true);
    impl_->register_endpoint(id);
}

void gateway_standin::write_other_rows(int count)
{
    for (int i = 0; i < count; ++i)
        impl_->store->write("servers", "other" + std::to_string(i), "{}");
}

std::string gateway_standin::endpoint_address(std::string const& id) const
{
    return impl_->endpoints.at(id)->address();
}

void gateway_standin::write_endpoint_row(std::string const& id,
                                         std::string value)
{
    impl_->store->write("servers", id, std::move(value));
}

void gateway_standin::restart_endpoint(std::string const& id)
{
    impl_->endpoints.at(id)->restart();
    impl_->register_endpoint(id);
}

void gateway_standin::restart_endpoint_as(std::string const& id,
                                          std::vector<std::string> labels,
                                          std::int64_t processor)
{
    impl_->endpoints.at(id)->restart_as(std::move(labels), processor);
    impl_->register_endpoint(id);
}

void gateway_standin::configure(std::int64_t version, milliseconds run_time)
{
    impl_->shared_state->run_time = run_time;
    json::object queue;
    queue["name"] = "queue";
    queue["host"] = "jobs.example";
    queue["path_prefix"] = "/q/";
    queue["service"] = "orders";
    queue["max_attempts"] = 3;
    queue["slack_factor"] = 4.0;
    queue["target_latency_ms"] = 500;
    json::object body;
    body["version"] = version;
    body["routes"] = json::array{std::move(queue)};
    body["services"] = json::array{json::object{{"name", "orders"}}};
    impl_->store->write("op", "config", json::serialize(body));
}

void gateway_standin::evacuate(std::string const& data_centre)
{
    ++impl_->findings.evacuations;
    impl_->evacuated_since.try_emplace(data_centre, steady_clock::now());
    impl_->store->write("op", "evacuate/" + data_centre, {});
}

void gateway_standin::end_evacuation(std::string const& data_centre)
{
    impl_->evacuated_since.erase(data_centre);
    impl_->store->remove("op", "evacuate/" + data_centre);
}

void gateway_standin::write_operator_row(std::string const& key,
                                         std::string value)
{
    impl_->store->write("op", key, std::move(value));
}

platform_faults& gateway_standin::faults()
{
    return *impl_->shared_state->faults;
}

platform_findings const& gateway_standin::findings() const
{
    return impl_->findings;
}

} // namespace masticshift::test_support
