#include <test_support/gateway_standin.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <chrono>

namespace masticshift::test_support
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

using answer = std::optional<transport::http_response>;

/// How often waiting calls look whether they have something to tell.
constexpr milliseconds poll{5};

/// Endpoints write their rows this often.
constexpr milliseconds heartbeat{300};

constexpr int latest_order_ms = 4'000;

/// Thousandths of a core that a task takes.
constexpr std::int64_t task_processor = 6'800;

std::string encode_base64(std::string const& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

transport::http_response make_answer(unsigned status, json::object const& body)
{
    transport::http_response response;
    response.status = status;
    response.fields.set("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

transport::http_response error_answer(failure const& error)
{
    return make_answer(info_of(error.code).http_status, {});
}

std::int64_t number(json::object const& body, char const* name)
{
    return body.contains(name) ? body.at(name).to_number<std::int64_t>() : 0;
}

asio::awaitable<void> pause(duration length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(as_values);
}

std::int64_t clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

transport::http_request make_job_request(std::string const& id, int tasks,
                                         milliseconds patience)
{
    transport::http_request request;
    request.method = "POST";
    request.target = "/q/" + id;
    request.fields.set("Host", "jobs.example");
    request.fields.set("X-Deadline-Ms", std::to_string(patience.count()));
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
    struct endpoint
    {
        endpoint(dispatch::endpoint_record record, double of)
            : model(std::move(record)), speed(of)
        {
        }

        dispatch::endpoint_model model;
        std::unique_ptr<transport::http_server> server;
        double speed = 1;
        bool draining = false;
        std::int64_t sequence = 0;
    };

    impl(asio::any_io_executor executor, unsigned seed)
        : executor_(std::move(executor)), random_(seed)
    {
    }

    outcome<void> start_store(std::uint16_t port)
    {
        store_ = std::make_unique<transport::http_server>(
            executor_, transport::http_server_limits{},
            [self = weak_from_this()](transport::http_request request)
            {
                return answer_store(self.lock(), std::move(request));
            },
            error_answer);
        return store_->listen("127.0.0.1", port);
    }

    outcome<void> add_endpoint(dispatch::endpoint_record record, double speed)
    {
        auto const id = record.id;
        auto made = std::make_unique<endpoint>(std::move(record), speed);
        made->server = std::make_unique<transport::http_server>(
            executor_, transport::http_server_limits{},
            [self = weak_from_this(), id](transport::http_request request)
            {
                return answer_endpoint(self.lock(), id, std::move(request));
            },
            error_answer);
        auto listening = made->server->listen("127.0.0.1", 0);
        endpoints_[id] = std::move(made);
        asio::co_spawn(executor_, keep_registered(weak_from_this(), id),
                       asio::detached);
        return listening;
    }

    void register_endpoint(std::string const& id)
    {
        auto& each = *endpoints_.at(id);
        auto const& record = each.model.record();
        json::object row;
        row["service"] = record.service;
        row["address"] = "127.0.0.1:" + std::to_string(each.server->port());
        row["zone"] = record.data_centre;
        row["version"] = "v1";
        row["slots"] = record.slots;
        row["state"] = each.draining ? "draining" : "ready";
        row["cold_left_ms"] = 0;
        row["seq"] = ++each.sequence;
        row["born"] = record.started_ms;
        row["machine"] = record.vm;
        row["capacity"] = json::object{{"cpu", record.capacity.processor},
                                       {"mem_mb", record.capacity.memory_mb},
                                       {"gpu", record.capacity.accelerators}};
        row["labels"] = json::array{"a", "rack-1"};
        write("servers", id, json::serialize(row));
    }

    void write(std::string const& table, std::string const& key,
               std::string value)
    {
        rows_.begin();
        rows_.put(table, key, std::move(value));
    }

    endpoint& at(std::string const& id)
    {
        return *endpoints_.at(id);
    }

    std::uint16_t store_port() const
    {
        return store_->port();
    }

    platform_faults faults;
    platform_findings findings;
    milliseconds run_time{60};

private:
    bool chance(int percent)
    {
        return std::uniform_int_distribution(0, 99)(random_) < percent;
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
                if (!self->faults.silent_endpoints.contains(id))
                    self->register_endpoint(id);
            }
            co_await pause(heartbeat);
        }
    }

    static asio::awaitable<answer> answer_store(std::shared_ptr<impl> self,
                                                transport::http_request request)
    {
        while (self->faults.store_silent)
            co_await pause(heartbeat);
        if (self->faults.store_delay.count() > 0)
            co_await pause(self->faults.store_delay);
        constexpr unsigned unavailable = 503;
        if (self->faults.store_down)
            co_return make_answer(unavailable, {});
        auto const path = transport::path_of(request.target);
        if (path == "/rows-tx")
            co_return self->commit(request.body);
        auto const table = transport::query_parameter(request.target, "table");
        if (path == "/rows-get")
            co_return self->read(
                table, transport::query_parameter(request.target, "from"));
        auto const after =
            std::stoll(transport::query_parameter(request.target, "after"));
        auto const wait = milliseconds(
            std::stoll(transport::query_parameter(request.target, "wait_ms")));
        constexpr unsigned gone = 410;
        if (std::exchange(self->faults.history_gone, false))
            co_return make_answer(gone, {});
        auto const until = steady_clock::now() + wait;
        while (self->rows_.changes(table, after).empty() &&
               steady_clock::now() < until)
            co_await pause(poll);
        co_return self->rows_answer(table, self->rows_.changes(table, after));
    }

    answer commit(std::string const& text)
    {
        constexpr unsigned ok = 200;
        auto const body = json::parse(text).as_object();
        rows_.begin();
        for (auto const& each : body.at("put").as_array())
            rows_.put(std::string(each.at("table").as_string()),
                      std::string(each.at("key").as_string()), "");
        for (auto const& each : body.at("remove").as_array())
            rows_.remove(std::string(each.at("table").as_string()),
                         std::string(each.at("key").as_string()));
        return make_answer(
            ok, {{"row_version", rows_.version()}, {"now_ms", clock_ms()}});
    }

    answer read(std::string const& table, std::string const& from)
    {
        return rows_answer(table, rows_.read(table, from));
    }

    answer
    rows_answer(std::string const& table,
                std::vector<std::pair<std::string, kept_row>> const& found)
    {
        constexpr unsigned ok = 200;
        json::array list;
        for (auto const& [key, row] : found)
        {
            json::object shown;
            shown["table"] = table;
            shown["part"] = "";
            shown["key"] = key;
            shown["row_version"] = row.version;
            if (row.removed)
                shown["tombstone"] = true;
            else
                shown["value"] = encode_base64(row.value);
            list.push_back(std::move(shown));
        }
        return make_answer(ok, {{"rows", std::move(list)},
                                {"has_more", false},
                                {"row_version", rows_.version()},
                                {"now_ms", clock_ms()}});
    }

    static asio::awaitable<answer>
    answer_endpoint(std::shared_ptr<impl> self, std::string id,
                    transport::http_request request)
    {
        while (self->faults.silent_endpoints.contains(id))
            co_await pause(heartbeat);
        auto const body = json::parse(request.body).as_object();
        auto const path = std::string(transport::path_of(request.target));
        if (path == "/hold")
            co_return co_await list_runs(self, id, body);
        if (!self->chance(self->faults.lost_orders))
            co_return self->carry_out(id, path, body);
        auto const late = self->chance(self->faults.late_orders);
        co_await pause(late ? milliseconds(self->pick(latest_order_ms))
                            : milliseconds(0));
        self->carry_out(id, path, body);
        co_return std::nullopt;
    }

    int pick(int most)
    {
        return std::uniform_int_distribution(0, most)(random_);
    }

    static std::string task_of(json::object const& body)
    {
        return std::string(body.at("task").as_string());
    }

    answer carry_out(std::string const& id, std::string const& path,
                     json::object const& body)
    {
        auto& to = at(id);
        dispatch::run_key const run{task_of(body), number(body, "run")};
        auto const token = number(body, "fencing_token");
        auto const now = clock_ms();
        if (path == "/run-stop")
            return order_answer(to.model.stop({id, run, token}, now));
        auto const length = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(run_time) / to.speed);
        if (to.model.running() >= room_of(to))
            return refusal("room");
        auto const before = to.model.starts().size();
        auto const result =
            to.model.start({id, run, "", number(body, "until_ms"), token}, now,
                           length, chance(faults.failed_runs));
        if (to.model.starts().size() > before)
            note_start(id, run.task, now);
        return order_answer(result);
    }

    static std::size_t room_of(endpoint const& of)
    {
        return static_cast<std::size_t>(of.model.record().capacity.processor /
                                        task_processor);
    }

    void note_start(std::string const& id, std::string const& task,
                    std::int64_t now)
    {
        ++findings.starts;
        findings.started_jobs.insert(task.substr(0, task.find('.')));
        for (auto& [other, each] : endpoints_)
        {
            if (other != id && each->model.runs_task(task, now))
            {
                auto found = task;
                found.append(" on ").append(id).append(" and ").append(other);
                findings.doubled.push_back(std::move(found));
            }
        }
    }

    static transport::http_response refusal(char const* reason)
    {
        constexpr unsigned conflict = 409;
        return make_answer(conflict,
                           {{"clock_ms", clock_ms()}, {"reason", reason}});
    }

    static transport::http_response order_answer(dispatch::order_answer result)
    {
        constexpr unsigned ok = 200;
        switch (result)
        {
        case dispatch::order_answer::outranked:
            return refusal("fence");
        case dispatch::order_answer::run_too_old:
            return refusal("old");
        case dispatch::order_answer::too_late:
            return refusal("late");
        default:
            return make_answer(ok, {{"clock_ms", clock_ms()}});
        }
    }

    static asio::awaitable<answer> list_runs(std::shared_ptr<impl> self,
                                             std::string id, json::object body)
    {
        dispatch::list_order order;
        order.token = number(body, "fencing_token");
        order.acknowledged_end = number(body, "last_seen");
        if (body.contains("until_ms"))
            order.lease_until = number(body, "until_ms");
        auto const until =
            steady_clock::now() + milliseconds(number(body, "wait_ms"));
        for (;;)
        {
            auto& to = self->at(id);
            dispatch::run_list list;
            auto const result = to.model.list(order, clock_ms(), list);
            if (result != dispatch::order_answer::accepted)
                co_return order_answer(result);
            if (!list.ended.empty() || steady_clock::now() >= until)
                co_return list_answer(list);
            co_await pause(poll);
        }
    }

    static transport::http_response list_answer(dispatch::run_list const& list)
    {
        constexpr unsigned ok = 200;
        json::array running;
        for (auto const& run : list.active)
            running.push_back(
                json::array{run.run.task, run.run.number, "", run.percent});
        json::array ended;
        for (auto const& run : list.ended)
            ended.push_back(json::array{run.number, run.run.task,
                                        run.run.number,
                                        dispatch::name_of(run.end), ""});
        return make_answer(ok, {{"clock_ms", clock_ms()},
                                {"born", list.started_ms},
                                {"running", std::move(running)},
                                {"ended_runs", std::move(ended)}});
    }

    asio::any_io_executor executor_;
    std::mt19937 random_;
    row_table rows_;
    std::unique_ptr<transport::http_server> store_;
    std::map<std::string, std::unique_ptr<endpoint>> endpoints_;
};

gateway_standin::gateway_standin(asio::any_io_executor executor, unsigned seed)
    : impl_(std::make_shared<impl>(std::move(executor), seed))
{
}

gateway_standin::~gateway_standin() = default;

outcome<void> gateway_standin::start_store(std::uint16_t port)
{
    return impl_->start_store(port);
}

std::uint16_t gateway_standin::store_port() const
{
    return impl_->store_port();
}

outcome<void> gateway_standin::add_endpoint(std::string const& id,
                                            std::string const& data_centre,
                                            double speed)
{
    dispatch::endpoint_record record;
    record.id = id;
    record.vm = "vm-" + id;
    record.service = "orders";
    record.data_centre = data_centre;
    record.capacity = {16'000, 32'768, 0};
    record.slots = 8;
    record.started_ms = clock_ms();
    return impl_->add_endpoint(std::move(record), speed);
}

void gateway_standin::drain_endpoint(std::string const& id)
{
    impl_->at(id).draining = true;
    impl_->register_endpoint(id);
}

void gateway_standin::restart_endpoint(std::string const& id)
{
    impl_->at(id).model.restart(clock_ms() + 1);
    impl_->register_endpoint(id);
}

void gateway_standin::configure(std::int64_t version, milliseconds run_time)
{
    impl_->run_time = run_time;
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
    impl_->write("op", "config", json::serialize(body));
}

platform_faults& gateway_standin::faults()
{
    return impl_->faults;
}

platform_findings const& gateway_standin::findings() const
{
    return impl_->findings;
}

} // namespace masticshift::test_support
