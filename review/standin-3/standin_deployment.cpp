#include "standin_deployment.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

std::string const loopback = "127.0.0.1";
std::string const service = "orders";
std::string const host = "jobs.example";

constexpr milliseconds poll{20};

std::string variable(char const* name)
{
    auto const* const value = std::getenv(name);
    return std::string(name) + "=" + (value == nullptr ? "" : value);
}

} // namespace

entry_process::entry_process(record& log, std::string program,
                             std::string folder, std::string name,
                             std::string zone, address store)
    : log_(log),
      program_(std::move(program)),
      folder_(std::move(folder)),
      name_(std::move(name)),
      zone_(std::move(zone)),
      store_(std::move(store)),
      front_{loopback, free_port(loopback)},
      ready_{loopback, free_port(loopback)},
      control_{loopback, free_port(loopback)},
      metrics_{loopback, free_port(loopback)}
{
}

entry_process::~entry_process()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

std::string entry_process::settings_path() const
{
    return folder_ + "/" + name_ + ".toml";
}

void entry_process::write_settings(std::vector<std::string> const& seeds) const
{
    std::ofstream file(settings_path());
    file << "[gateway]\nname = \"" << name_ << "\"\ndata_centre = \"" << zone_
         << "\"\ncaller_address = \"" << to_string(front_)
         << "\"\nready_address = \"" << to_string(ready_)
         << "\"\npeer_address = \"" << to_string(control_)
         << "\"\nmetrics_address = \"" << to_string(metrics_)
         << "\"\nprocessors = 0.25\n\n[peers]\naddresses = [";
    for (std::size_t i = 0; i < seeds.size(); ++i)
        file << (i == 0 ? "" : ",") << '"' << seeds[i] << '"';
    file << "]\n\n[store]\naddress = \"" << to_string(store_)
         << "\"\n\n[bounds]\nlongest_lease_ms = 1000\nremote_factor = 1.5\n"
            "grace_seconds = 6\n\n[log]\npath = \"stdout\"\n";
}

void entry_process::start()
{
    auto const output = folder_ + "/" + name_ + ".log";
    std::array<std::string, 4> variables{
        variable("PATH"), variable("HOME"), variable("LANG"),
        "MASTICSHIFT_CONFIG=" + settings_path()};
    std::array<char*, 5> environment{variables[0].data(), variables[1].data(),
                                     variables[2].data(), variables[3].data(),
                                     nullptr};
    std::array<char*, 2> arguments{program_.data(), nullptr};
    pid_ = ::fork();
    if (pid_ == 0)
    {
        // Ends with this program, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        auto const file =
            ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execve(program_.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    log_.add("process " + name_ + " starts");
}

void entry_process::signal(int number)
{
    log_.add("process " + name_ + " gets signal " + std::to_string(number));
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool entry_process::has_ended()
{
    if (pid_ <= 0)
        return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_)
        return false;
    pid_ = 0;
    log_.add("process " + name_ + " has ended, wait status " +
             std::to_string(status));
    return true;
}

asio::awaitable<bool> entry_process::wait_until_ended(milliseconds limit)
{
    auto const until = steady_clock::now() + limit;
    while (!has_ended())
    {
        if (steady_clock::now() > until)
            co_return false;
        co_await wait(poll);
    }
    co_return true;
}

asio::awaitable<bool> entry_process::wait_until_ready(milliseconds limit)
{
    constexpr unsigned ok = 200;
    constexpr milliseconds check_timeout{1'000};
    auto const until = steady_clock::now() + limit;
    while (steady_clock::now() < until)
    {
        request check(http::verb::get, "/ready", 11);
        check.set(http::field::host, to_string(ready_));
        auto const answer = co_await call(ready_, check, check_timeout);
        if (answer.status == ok)
        {
            log_.add("process " + name_ + " is ready");
            co_return true;
        }
        co_await wait(poll);
    }
    co_return false;
}

deployment::deployment(asio::io_context& context, record& log,
                       std::string program, std::string folder)
    : context_(context),
      log_(log),
      program_(std::move(program)),
      folder_(std::move(folder)),
      store_(context, loopback)
{
    configure(7, {job_prefix, other_prefix});
}

void deployment::configure(std::int64_t version,
                           std::vector<std::string> const& prefixes)
{
    json::array routes;
    for (auto const& each : prefixes)
        routes.push_back({{"name", "r-" + each},
                          {"host", host},
                          {"path_prefix", each},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 30'000},
                          {"target_latency_ms", 60},
                          {"priority", 0},
                          {"service", service},
                          {"max_attempts", 3},
                          {"slack_factor", 1.6}});
    json::object const pool{{"name", service}, {"health_path", "/health"},
                            {"max_conns", 64}, {"protocol", "h1"},
                            {"tls", false},    {"enforces_capacity", true},
                            {"standby", false}};
    json::object const text{{"version", version},
                            {"routes", routes},
                            {"services", {pool}},
                            {"limits", json::object{}}};
    store_.put("op", "config", json::serialize(text));
    log_.add("configuration " + std::to_string(version) + " acknowledged, " +
             std::to_string(prefixes.size()) + " routes");
}

void deployment::add_workers(std::string const& zone, int count)
{
    for (int i = 0; i < count; ++i)
    {
        workers_.push_back(std::make_unique<worker>(
            context_, log_, seen_, store_, loopback,
            "w-" + zone + "-" + std::to_string(i), zone, service));
        workers_.back()->start();
    }
}

void deployment::add_entries(std::vector<std::string> const& zones)
{
    for (auto const& zone : zones)
        entries_.push_back(std::make_unique<entry_process>(
            log_, program_, folder_,
            "edge-" + zone + "-" + std::to_string(entries_.size()), zone,
            store_.where()));
    std::vector<std::string> seeds;
    for (auto const& each : entries_)
    {
        if (seeds.size() < 3)
            seeds.push_back(each->control());
    }
    for (auto const& each : entries_)
        each->write_settings(seeds);
}

asio::awaitable<bool> deployment::start_entries()
{
    constexpr milliseconds ready_limit{10'000};
    for (auto const& each : entries_)
        each->start();
    for (auto const& each : entries_)
    {
        if (!co_await each->wait_until_ready(ready_limit))
            co_return false;
    }
    co_return true;
}

asio::awaitable<call_outcome> deployment::submit(std::size_t entry,
                                                 std::string id, int steps,
                                                 int tasks, int run_ms,
                                                 milliseconds timeout)
{
    json::array list;
    for (int i = 0; i < steps; ++i)
    {
        json::object step{{"count", tasks},
                          {"cpu", 4'000},
                          {"mem_mb", 64},
                          {"estimate_ms", run_ms}};
        if (i > 0)
            step["after"] = {i - 1};
        list.push_back(std::move(step));
    }
    json::object const job{{"spec", std::to_string(run_ms)},
                           {"best_effort", true},
                           {"steps", std::move(list)}};
    request message(http::verb::post, job_prefix + id, 11);
    message.set(http::field::host, host);
    message.set(http::field::content_type, "application/json");
    message.set("X-Deadline-Ms", std::to_string(timeout.count()));
    message.body() = json::serialize(job);
    auto const where = entries_.at(entry)->front();
    log_.add("POST " + id + " to " + entries_.at(entry)->name());
    auto outcome = co_await call(where, std::move(message), timeout);
    log_.add("POST " + id + " to " + entries_.at(entry)->name() + " -> " +
             std::to_string(outcome.status) + " " + outcome.body +
             outcome.error);
    co_return outcome;
}

asio::awaitable<call_outcome>
deployment::cancel(std::size_t entry, std::string id, milliseconds timeout)
{
    request message(http::verb::delete_, job_prefix + id, 11);
    message.set(http::field::host, host);
    message.set("X-Deadline-Ms", std::to_string(timeout.count()));
    auto const where = entries_.at(entry)->front();
    log_.add("DELETE " + id + " to " + entries_.at(entry)->name());
    auto outcome = co_await call(where, std::move(message), timeout);
    log_.add("DELETE " + id + " to " + entries_.at(entry)->name() + " -> " +
             std::to_string(outcome.status) + " " + outcome.body +
             outcome.error);
    co_return outcome;
}

std::size_t deployment::starts_of(std::string const& id) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(seen_.starts,
                              [&](observed_start const& each)
                              {
                                  return each.task.starts_with(id + ".");
                              }));
}

bool deployment::is_running(std::string const& id) const
{
    return std::ranges::any_of(seen_.running,
                               [&](auto const& each)
                               {
                                   return each.second > 0 &&
                                          each.first.starts_with(id + ".");
                               });
}

} // namespace review
