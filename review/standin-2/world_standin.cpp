// Stand-ins of the platform's store, of a worker and of a client, for the
// scripts of the review. Each runs as a process of its own and appends what it
// has seen to a shared record: `MILLISECONDS EVENT FIELDS`.
//
// The text that a client sends as `spec` tells the stand-in worker what it
// would otherwise do by itself: `ms=900 requires=b`.

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/// Milliseconds of the machine's steady clock, equal in all processes.
std::int64_t steady_ms()
{
    std::timespec read{};
    ::clock_gettime(CLOCK_MONOTONIC, &read);
    constexpr std::int64_t ms_per_s = 1'000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    return read.tv_sec * ms_per_s + read.tv_nsec / ns_per_ms;
}

std::int64_t unix_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

/// The options of the command line, `--name value`.
class options
{
public:
    options(int argc, char** argv)
    {
        for (int i = 2; i + 1 < argc; i += 2)
            values_[argv[i] + 2] = argv[i + 1];
    }

    std::string text(std::string const& name,
                     std::string const& fallback = {}) const
    {
        auto const found = values_.find(name);
        return found == values_.end() ? fallback : found->second;
    }

    std::int64_t number(std::string const& name, std::int64_t fallback) const
    {
        auto const found = values_.find(name);
        return found == values_.end() ? fallback : std::stoll(found->second);
    }

private:
    std::map<std::string, std::string> values_;
};

/// The record that all processes append to.
class record_file
{
public:
    explicit record_file(std::string const& path)
        : file_(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                       0644))
    {
    }

    void write(std::string const& line) const
    {
        auto const whole = std::to_string(steady_ms()) + " " + line + "\n";
        if (::write(file_, whole.data(), whole.size()) < 0)
            std::perror("record");
    }

private:
    int file_;
};

std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1)));
}

response make_response(unsigned status, json::object const& body)
{
    response made;
    made.result(status);
    made.set(http::field::content_type, "application/json");
    made.body() = json::serialize(body);
    made.prepare_payload();
    return made;
}

/// Serves each connection in a thread of its own, until the process is killed.
template <class Handler>
void serve(std::uint16_t port, Handler const& handle)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), port},
                           true);
    for (;;)
    {
        auto socket = acceptor.accept();
        std::thread(
            [&handle, peer = std::move(socket)]() mutable
            {
                beast::flat_buffer buffer;
                beast::error_code error;
                peer.set_option(tcp::no_delay(true), error);
                while (!error)
                {
                    request received;
                    http::read(peer, buffer, received, error);
                    if (error)
                        return;
                    auto answer = handle(received);
                    answer.keep_alive(received.keep_alive());
                    http::write(peer, answer, error);
                    if (!received.keep_alive())
                        return;
                }
            })
            .detach();
    }
}

/// Sends one request and returns the response, or nothing.
std::optional<response> call(std::string const& address, request sent,
                             milliseconds timeout)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    beast::error_code failed;
    response received;
    beast::flat_buffer buffer;
    sent.prepare_payload();
    stream.expires_after(timeout);
    stream.async_connect(
        tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_of(address)),
        [&](beast::error_code error)
        {
            failed = error;
            if (error)
                return;
            http::async_write(
                stream, sent,
                [&](beast::error_code write_error, std::size_t)
                {
                    failed = write_error;
                    if (write_error)
                        return;
                    http::async_read(
                        stream, buffer, received,
                        [&](beast::error_code read_error, std::size_t)
                        {
                            failed = read_error;
                        });
                });
        });
    context.run();
    if (failed)
        return std::nullopt;
    return received;
}

request make_request(http::verb method, std::string const& target,
                     std::string const& host, std::string body)
{
    request made(method, target, 11);
    made.set(http::field::host, host);
    if (!body.empty())
        made.set(http::field::content_type, "application/json");
    made.body() = std::move(body);
    return made;
}

std::string encode_base64(std::string const& bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(
        beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string text_of(json::object const& fields, std::string_view name)
{
    auto const* const value = fields.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
}

std::int64_t number_of(json::object const& fields, std::string_view name)
{
    auto const* const value = fields.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

std::string parameter(std::string_view target, std::string const& name)
{
    auto const start = target.find(name + "=");
    if (start == std::string_view::npos)
        return {};
    auto const value = target.substr(start + name.size() + 1);
    return std::string(value.substr(0, value.find('&')));
}

/// The platform's store. Values stay as they are sent, in base64.
class store
{
public:
    response handle(request const& received)
    {
        std::string_view const target(received.target().data(),
                                      received.target().size());
        auto const path = target.substr(0, target.find('?'));
        if (path == "/rows-tx")
            return commit(json::parse(received.body()).as_object());
        if (path == "/rows-get")
            return read(target);
        if (path == "/rows-feed")
            return feed(target);
        return make_response(404, {});
    }

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
        bool removed = false;
    };

    using row_key = std::pair<std::string, std::string>;

    json::object fields_of(row_key const& key, row const& each) const
    {
        json::object fields{{"table", key.first},
                            {"part", ""},
                            {"key", key.second},
                            {"row_version", each.version}};
        if (each.removed)
            fields["tombstone"] = true;
        else
            fields["value"] = each.value;
        return fields;
    }

    response answer(json::array rows) const
    {
        return make_response(200, {{"rows", std::move(rows)},
                                   {"has_more", false},
                                   {"row_version", version_},
                                   {"now_ms", steady_ms()}});
    }

    response commit(json::object const& body)
    {
        std::lock_guard const lock(mutex_);
        ++version_;
        for (auto const& each : body.at("put").as_array())
        {
            auto const& fields = each.as_object();
            rows_[{text_of(fields, "table"), text_of(fields, "key")}] = {
                text_of(fields, "value"), version_, false};
        }
        for (auto const& each : body.at("remove").as_array())
        {
            auto const& fields = each.as_object();
            rows_[{text_of(fields, "table"), text_of(fields, "key")}] = {
                {}, version_, true};
        }
        changed_.notify_all();
        return make_response(
            200, {{"row_version", version_}, {"now_ms", steady_ms()}});
    }

    response read(std::string_view target)
    {
        std::lock_guard const lock(mutex_);
        auto const table = parameter(target, "table");
        auto const from = parameter(target, "from");
        json::array rows;
        for (auto const& [key, each] : rows_)
        {
            if (key.first == table && key.second >= from && !each.removed)
                rows.push_back(fields_of(key, each));
        }
        return answer(std::move(rows));
    }

    json::array changes_after(std::string const& table,
                              std::int64_t after) const
    {
        std::vector<std::pair<std::int64_t, json::object>> changes;
        for (auto const& [key, each] : rows_)
        {
            if (key.first == table && each.version > after)
                changes.emplace_back(each.version, fields_of(key, each));
        }
        std::ranges::sort(changes, {},
                          [](auto const& each)
                          {
                              return each.first;
                          });
        json::array rows;
        for (auto& each : changes)
            rows.push_back(std::move(each.second));
        return rows;
    }

    response feed(std::string_view target)
    {
        std::unique_lock lock(mutex_);
        auto const table = parameter(target, "table");
        auto const after = std::stoll(parameter(target, "after"));
        changed_.wait_for(
            lock, milliseconds(std::stoll(parameter(target, "wait_ms"))),
            [&]
            {
                return !changes_after(table, after).empty();
            });
        return answer(changes_after(table, after));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::int64_t version_ = 0;
};

bool put_row(std::string const& address, std::string const& table,
             std::string const& key, std::string const& value)
{
    json::object const row{{"table", table},
                           {"part", ""},
                           {"key", key},
                           {"value", encode_base64(value)}};
    json::object const body{{"expected_rev", json::array()},
                            {"put", json::array{row}},
                            {"remove", json::array()}};
    auto const answered = call(address,
                               make_request(http::verb::post, "/rows-tx",
                                            address, json::serialize(body)),
                               milliseconds(1'000));
    return answered && answered->result_int() == 200;
}

/// A worker that guards leases, fencing tokens and run numbers.
class worker
{
public:
    worker(options const& given, record_file const& record)
        : record_(record),
          id_(given.text("id")),
          service_(given.text("service", "desk")),
          address_(given.text("address", "127.0.0.1:" + given.text("port"))),
          zone_(given.text("zone", "z1")),
          kind_(given.text("kind", "a")),
          store_(given.text("store"))
    {
    }

    response handle(request const& received)
    {
        std::string_view const path(received.target().data(),
                                    received.target().size());
        if (path == "/health")
            return make_response(200, {});
        auto const expected = received["X-Expect-Instance"];
        if (!expected.empty() && expected != id_)
            return make_response(421, {});
        auto const body = json::parse(received.body()).as_object();
        std::unique_lock lock(mutex_);
        end_due_runs();
        auto const token = number_of(body, "fencing_token");
        if (token < token_)
            return refusal("fence");
        token_ = token;
        if (path == "/run-start")
            return start(body);
        if (path == "/run-stop")
            return stop(body);
        if (path == "/hold")
            return hold(body, lock);
        return make_response(400, {});
    }

    /// Ends runs when they are done or their lease has expired.
    void watch_runs()
    {
        constexpr milliseconds interval(2);
        for (;;)
        {
            {
                std::lock_guard const lock(mutex_);
                end_due_runs();
            }
            std::this_thread::sleep_for(interval);
        }
    }

    /// Writes its row in regular intervals.
    void keep_registered() const
    {
        constexpr milliseconds heartbeat(1'500);
        for (std::int64_t sequence = 1;; ++sequence)
        {
            json::object const row{
                {"service", service_},
                {"address", address_},
                {"zone", zone_},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
                {"labels", json::array{kind_, "r1-1"}},
                {"clock_ms", clock_ms()},
                {"machine", "m-" + id_},
                {"born", born_},
                {"seq", sequence}};
            if (put_row(store_, "servers", id_, json::serialize(row)) &&
                sequence == 1)
                record_.write("registered worker=" + id_ + " kind=" + kind_);
            std::this_thread::sleep_for(heartbeat);
        }
    }

private:
    struct run
    {
        std::int64_t number = 0;
        std::int64_t started = 0;
        std::int64_t done_at = 0;
    };

    struct end
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    static constexpr std::int64_t longest_lease = 1'000;

    std::int64_t clock_ms() const
    {
        return steady_ms() - started_;
    }

    response refusal(char const* reason) const
    {
        return make_response(409,
                             {{"clock_ms", clock_ms()}, {"reason", reason}});
    }

    void extend_lease(json::object const& body)
    {
        auto const until = number_of(body, "until_ms");
        lease_ = std::max(lease_, std::min(until, clock_ms() + longest_lease));
    }

    void record_end(std::string const& task, std::int64_t run,
                    std::string const& how)
    {
        last_run_[task] = std::max(last_run_[task], run);
        ends_.push_back({next_end_++, task, run, how});
        record_.write("end worker=" + id_ + " task=" + task +
                      " run=" + std::to_string(run) + " how=" + how);
        ended_.notify_all();
    }

    void end_due_runs()
    {
        auto const now = clock_ms();
        for (auto each = runs_.begin(); each != runs_.end();)
        {
            auto const [task, of] = *each;
            bool const done = of.done_at <= std::min(now, lease_);
            bool const lapsed = lease_ <= now;
            if (!done && !lapsed)
            {
                ++each;
                continue;
            }
            each = runs_.erase(each);
            record_end(task, of.number, done ? "done" : "lapsed");
        }
    }

    response start(json::object const& body)
    {
        auto const task = text_of(body, "task");
        auto const number = number_of(body, "run");
        if (number_of(body, "until_ms") <= clock_ms())
            return refusal("late");
        auto const known = runs_.find(task);
        if (known != runs_.end() && known->second.number == number)
        {
            extend_lease(body);
            return make_response(200, {{"clock_ms", clock_ms()}});
        }
        auto const last = last_run_.find(task);
        if (known != runs_.end() ||
            (last != last_run_.end() && number <= last->second))
        {
            extend_lease(body);
            return refusal("old");
        }
        constexpr std::size_t room = 8;
        if (runs_.size() >= room)
        {
            extend_lease(body);
            return refusal("room");
        }
        extend_lease(body);
        auto const spec = text_of(body, "spec");
        auto const length = std::stoll(spec.substr(spec.find("ms=") + 3));
        runs_[task] = {number, clock_ms(), clock_ms() + length};
        record_.write("start worker=" + id_ + " kind=" + kind_ + " task=" +
                      task + " run=" + std::to_string(number) + " " + spec);
        return make_response(200, {{"clock_ms", clock_ms()}});
    }

    response stop(json::object const& body)
    {
        auto const task = text_of(body, "task");
        auto const number = number_of(body, "run");
        auto const known = runs_.find(task);
        if (known != runs_.end() && known->second.number == number)
        {
            runs_.erase(known);
            record_end(task, number, "stopped");
        }
        last_run_[task] = std::max(last_run_[task], number);
        return make_response(200, {{"clock_ms", clock_ms()}});
    }

    response hold(json::object const& body, std::unique_lock<std::mutex>& lock)
    {
        if (body.contains("until_ms"))
            extend_lease(body);
        std::erase_if(ends_,
                      [&](end const& each)
                      {
                          return each.number <= number_of(body, "last_seen");
                      });
        auto const until = clock_ms() + number_of(body, "wait_ms");
        constexpr milliseconds pause(5);
        while (ends_.empty() && clock_ms() < until)
        {
            ended_.wait_for(lock, pause);
            end_due_runs();
        }
        json::array running;
        for (auto const& [task, of] : runs_)
        {
            auto const length =
                std::max<std::int64_t>(of.done_at - of.started, 1);
            running.push_back(json::array{
                task, of.number, "", (clock_ms() - of.started) * 100 / length});
        }
        json::array ends;
        for (auto const& each : ends_)
            ends.push_back(
                json::array{each.number, each.task, each.run, each.how, ""});
        return make_response(200, {{"clock_ms", clock_ms()},
                                   {"born", born_},
                                   {"running", std::move(running)},
                                   {"ended_runs", std::move(ends)}});
    }

    record_file const& record_;
    std::string id_;
    std::string service_;
    std::string address_;
    std::string zone_;
    std::string kind_;
    std::string store_;
    std::int64_t started_ = steady_ms();
    std::int64_t born_ = unix_ms();
    std::mutex mutex_;
    std::condition_variable ended_;
    std::map<std::string, run> runs_;
    std::vector<end> ends_;
    std::map<std::string, std::int64_t> last_run_;
    std::int64_t token_ = 0;
    std::int64_t lease_ = 0;
    std::int64_t next_end_ = 1;
};

int run_store(options const& given)
{
    store kept;
    serve(static_cast<std::uint16_t>(given.number("port", 0)),
          [&](request const& received)
          {
              return kept.handle(received);
          });
    return 0;
}

int run_worker(options const& given, record_file const& record)
{
    worker self(given, record);
    std::thread(
        [&]
        {
            self.keep_registered();
        })
        .detach();
    std::thread(
        [&]
        {
            self.watch_runs();
        })
        .detach();
    serve(static_cast<std::uint16_t>(given.number("port", 0)),
          [&](request const& received)
          {
              return self.handle(received);
          });
    return 0;
}

/// Writes the configuration: one queue at `jobs.example`, `/q/`.
int run_configure(options const& given)
{
    json::object const route{{"name", "orders"},     {"host", "jobs.example"},
                             {"path_prefix", "/q/"}, {"kind", "non_idempotent"},
                             {"timeout_ms", 10'000}, {"target_latency_ms", 60},
                             {"priority", 0},        {"service", "desk"},
                             {"max_attempts", 3},    {"slack_factor", 1.6}};
    json::object const body{
        {"version", 3},
        {"routes", json::array{route}},
        {"services", json::array{json::object{{"name", "desk"},
                                              {"enforces_capacity", true}}}}};
    return put_row(given.text("store"), "op", "config", json::serialize(body))
               ? 0
               : 1;
}

/// Sends one request and records it with its answer. `--steps N`: a job of N
/// steps of `--tasks` tasks, each step after the one before.
int run_call(options const& given, record_file const& record)
{
    auto const method = given.text("method", "POST");
    auto const id = given.text("id");
    auto const timeout = given.number("timeout", 1'500);
    std::string body;
    if (method == "POST")
    {
        auto const required = given.text("requires");
        auto const ms = given.number("ms", 100);
        json::array steps;
        for (std::int64_t number = 0; number < given.number("steps", 1);
             ++number)
        {
            json::object step{{"count", given.number("tasks", 1)},
                              {"cpu", given.number("cpu", 1'000)},
                              {"mem_mb", 64},
                              {"estimate_ms", ms}};
            if (number > 0)
                step["after"] = json::array{number - 1};
            if (!required.empty())
                step["requires"] = required;
            steps.push_back(std::move(step));
        }
        body = json::serialize(json::object{
            {"spec", "ms=" + std::to_string(ms) +
                         (required.empty() ? "" : " requires=" + required)},
            {"best_effort", true},
            {"steps", std::move(steps)}});
    }
    auto sent = make_request(http::string_to_verb(method), "/q/" + id,
                             "jobs.example", std::move(body));
    sent.set("X-Deadline-Ms", std::to_string(timeout));
    record.write("sent " + method + " job=" + id +
                 " entry=" + given.text("entry"));
    auto const answered =
        call(given.text("entry"), std::move(sent), milliseconds(timeout));
    record.write("answered " + method + " job=" + id + " status=" +
                 (answered ? std::to_string(answered->result_int()) +
                                 " body=" + answered->body()
                           : std::string("none")));
    return answered ? 0 : 1;
}

/// Copies bytes until one of the two connections ends, and ends both.
void pass_bytes(std::shared_ptr<tcp::socket> const& from,
                std::shared_ptr<tcp::socket> const& to)
{
    std::thread(
        [from, to]
        {
            std::array<char, 65'536> bytes{};
            beast::error_code error;
            from->set_option(tcp::no_delay(true), error);
            while (!error)
            {
                auto const size = from->read_some(asio::buffer(bytes), error);
                if (!error)
                    asio::write(*to, asio::buffer(bytes.data(), size), error);
            }
            beast::error_code ignored;
            from->shutdown(tcp::socket::shutdown_both, ignored);
            to->shutdown(tcp::socket::shutdown_both, ignored);
        })
        .detach();
}

/// A link to `--to`. While the process is stopped, the link is silent.
int run_proxy(options const& given)
{
    asio::io_context context;
    tcp::endpoint const target(asio::ip::make_address("127.0.0.1"),
                               port_of(given.text("to")));
    tcp::acceptor acceptor(
        context,
        {asio::ip::make_address("127.0.0.1"),
         static_cast<std::uint16_t>(given.number("port", 0))},
        true);
    for (;;)
    {
        auto const caller = std::make_shared<tcp::socket>(acceptor.accept());
        auto const callee = std::make_shared<tcp::socket>(context);
        beast::error_code failed;
        callee->connect(target, failed);
        if (failed)
            continue;
        pass_bytes(caller, callee);
        pass_bytes(callee, caller);
    }
}

/// Prints this many free ports of the loopback address.
int run_ports(options const& given)
{
    asio::io_context context;
    std::vector<tcp::acceptor> held;
    for (std::int64_t i = 0; i < given.number("count", 1); ++i)
    {
        held.emplace_back(
            context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        std::cout << held.back().local_endpoint().port() << "\n";
    }
    return 0;
}

int run_ready(options const& given)
{
    auto const answered =
        call(given.text("entry"),
             make_request(http::verb::get, "/ready", given.text("entry"), {}),
             milliseconds(1'000));
    return answered && answered->result_int() == 200 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::string const mode = argc > 1 ? argv[1] : "";
    options const given(argc, argv);
    record_file const record(given.text("record", "/dev/null"));
    if (mode == "store")
        return run_store(given);
    if (mode == "worker")
        return run_worker(given, record);
    if (mode == "configure")
        return run_configure(given);
    if (mode == "call")
        return run_call(given, record);
    if (mode == "proxy")
        return run_proxy(given);
    if (mode == "ready")
        return run_ready(given);
    if (mode == "ports")
        return run_ports(given);
    if (mode == "clock")
    {
        std::cout << steady_ms() << "\n";
        return 0;
    }
    std::cerr
        << "usage: world_standin store|worker|configure|call|proxy|ready|ports|"
           "clock "
           "--name value ...\n";
    return 2;
}
