#include "worker.hpp"

namespace review
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t hold_max_ms = 1'000;
constexpr std::int64_t max_wait_ms = 2'000;
constexpr std::int64_t first_clock_ms = 1'000;
constexpr std::int64_t task_cpu = 6'800;

std::int64_t number(json::object const& body, char const* name)
{
    auto const* const value = body.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

http_response answer(unsigned status, json::object const& body)
{
    return {status, json::serialize(body)};
}

} // namespace

worker::worker(worker_settings settings, record& events)
    : settings_(std::move(settings)),
      events_(events),
      started_(std::chrono::steady_clock::now()),
      born_(unix_ms())
{
    port_ = serve_http(
        [this](http_request const& request)
        {
            return handle(request);
        });
}

std::uint16_t worker::port() const
{
    return port_;
}

std::int64_t worker::clock() const
{
    return first_clock_ms +
           std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - started_)
               .count();
}

std::string worker::next_entry()
{
    std::lock_guard const lock(mutex_);
    json::object entry;
    entry["service"] = "orderdesk";
    entry["address"] = "127.0.0.1:" + std::to_string(port_);
    entry["zone"] = settings_.zone;
    entry["version"] = "v1";
    entry["slots"] = 8;
    entry["state"] = "ready";
    entry["cold_left_ms"] = 0;
    entry["seq"] = ++sequence_;
    entry["born"] = born_;
    entry["machine"] = "m-" + settings_.id;
    entry["capacity"] = {
        {"cpu", settings_.cpu}, {"mem_mb", 32'768}, {"gpu", 0}};
    entry["labels"] = {settings_.kind, "r-" + settings_.zone};
    return json::serialize(entry);
}

void worker::tick()
{
    std::lock_guard const lock(mutex_);
    end_due();
}

void worker::crash(int down_ms, std::string const& kind)
{
    std::lock_guard const lock(mutex_);
    end_due();
    events_.add(settings_.id + " crashes; it will be back after " +
                std::to_string(down_ms) + " ms, kind " + kind);
    while (!running_.empty())
        end(running_.begin(), "crashed");
    ends_.clear();
    last_ended_.clear();
    token_ = lease_until_ = sequence_ = 0;
    next_end_ = 1;
    settings_.kind = kind;
    started_ =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(down_ms);
    born_ = unix_ms() + down_ms;
}

bool worker::is_down() const
{
    std::lock_guard const lock(mutex_);
    return std::chrono::steady_clock::now() < started_;
}

std::optional<http_response> worker::handle(http_request const& request)
{
    if (is_down())
        return std::nullopt;
    auto const expected = request.headers.find("X-Expect-Instance");
    if (expected != request.headers.end() && expected->second != settings_.id)
        return http_response{421, "{}"};
    json::error_code error;
    auto const parsed = json::parse(request.body, error);
    if (error || !parsed.is_object())
        return http_response{400, "{}"};
    auto const& body = parsed.get_object();
    if (request.path == "/run-start")
        return start(body);
    if (request.path == "/run-stop")
        return stop(body);
    if (request.path == "/hold")
        return hold(body);
    return http_response{404, "{}"};
}

http_response worker::refuse(char const* reason) const
{
    return answer(409, {{"clock_ms", clock()}, {"reason", reason}});
}

void worker::extend_lease(json::object const& body)
{
    auto const until = number(body, "until_ms");
    lease_until_ =
        std::max(lease_until_, std::min(until, clock() + hold_max_ms));
}

http_response worker::start(json::object const& body)
{
    std::lock_guard const lock(mutex_);
    end_due();
    if (number(body, "fencing_token") < token_)
        return refuse("fence");
    token_ = number(body, "fencing_token");
    if (number(body, "until_ms") <= clock())
        return refuse("late");
    extend_lease(body);
    std::string const task(body.at("task").as_string());
    auto const run_number = number(body, "run");
    auto const present = running_.find(task);
    if (present != running_.end() && present->second.number == run_number)
        return answer(200, {{"clock_ms", clock()}});
    auto const last = last_ended_.find(task);
    if (present != running_.end() ||
        (last != last_ended_.end() && run_number <= last->second))
        return refuse("old");
    std::int64_t used = task_cpu;
    for (auto const& [name, each] : running_)
        used += each.cpu;
    if (used > settings_.cpu)
        return refuse("room");
    run begun;
    begun.number = run_number;
    begun.cpu = task_cpu;
    begun.begun = clock();
    begun.length = std::stoll(std::string(body.at("spec").as_string()));
    begun.index =
        events_.run_begun({task, run_number, settings_.id, settings_.kind});
    running_[task] = begun;
    return answer(200, {{"clock_ms", clock()}});
}

http_response worker::stop(json::object const& body)
{
    std::lock_guard const lock(mutex_);
    end_due();
    if (number(body, "fencing_token") < token_)
        return refuse("fence");
    token_ = number(body, "fencing_token");
    std::string const task(body.at("task").as_string());
    auto const run_number = number(body, "run");
    auto const present = running_.find(task);
    if (present == running_.end() || present->second.number != run_number)
        last_ended_[task] = std::max(last_ended_[task], run_number);
    else if (present->second.stops < 0)
        present->second.stops = clock() + settings_.stop_ms;
    return answer(200, {{"clock_ms", clock()}});
}

http_response worker::hold(json::object const& body)
{
    std::unique_lock lock(mutex_);
    end_due();
    if (number(body, "fencing_token") < token_)
        return refuse("fence");
    token_ = number(body, "fencing_token");
    if (body.contains("until_ms"))
        extend_lease(body);
    auto const seen = number(body, "last_seen");
    json::array kept;
    for (auto const& each : ends_)
    {
        if (each.as_array().at(0).to_number<std::int64_t>() > seen)
            kept.push_back(each);
    }
    ends_ = std::move(kept);
    auto const wait = std::min(number(body, "wait_ms"), max_wait_ms);
    ended_condition_.wait_for(lock, std::chrono::milliseconds(wait),
                              [this]
                              {
                                  return !ends_.empty();
                              });
    end_due();
    return answer(200, list());
}

json::object worker::list() const
{
    json::array running;
    for (auto const& [task, each] : running_)
    {
        auto const done = (clock() - each.begun) * 100 /
                          std::max<std::int64_t>(each.length, 1);
        running.push_back(json::array{task, each.number, "",
                                      std::min<std::int64_t>(done, 99), 0});
    }
    return {{"clock_ms", clock()},
            {"born", born_},
            {"running", std::move(running)},
            {"ended_runs", ends_}};
}

void worker::end_due()
{
    auto const now = clock();
    for (auto each = running_.begin(); each != running_.end();)
    {
        auto const place = each++;
        auto const& run = place->second;
        if (run.stops >= 0 && run.stops <= now)
            end(place, "stopped");
        else if (run.begun + run.length <= std::min(now, lease_until_))
            end(place, "done");
        else if (lease_until_ <= now)
            end(place, "lapsed");
    }
}

void worker::end(std::map<std::string, run>::iterator place, char const* how)
{
    auto const& [task, run] = *place;
    last_ended_[task] = std::max(last_ended_[task], run.number);
    ends_.push_back(json::array{next_end_++, task, run.number, how, ""});
    events_.run_ended(run.index, how);
    running_.erase(place);
    ended_condition_.notify_all();
}

} // namespace review
