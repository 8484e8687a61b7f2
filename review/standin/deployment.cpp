#include "deployment.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace review
{

namespace json = boost::json;

namespace
{

constexpr int resend_ms = 1'300;
constexpr int heartbeat_ms = 1'500;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// A free port. It stays bound, without listening, so that nobody else gets it.
std::uint16_t reserve_port(std::vector<int>& sockets)
{
    auto const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0)
        throw std::runtime_error("no free port");
    socklen_t size = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    sockets.push_back(socket);
    return ntohs(address.sin_port);
}

/// The inode of the socket with this local port that is connected, or nothing.
std::string socket_inode(std::uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line))
    {
        std::istringstream fields(line);
        std::string slot, local, remote, state, queues, timer, retries, user,
            timeout, inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >>
            retries >> user >> timeout >> inode;
        auto const colon = local.find(':');
        if (colon != std::string::npos && state == "01" &&
            std::stoul(local.substr(colon + 1), nullptr, 16) == port)
            return inode;
    }
    return {};
}

} // namespace

void sleep_ms(int length)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(length));
}

entry::entry(std::string name, std::string zone, std::string folder,
             std::string program)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      folder_(std::move(folder)),
      program_(std::move(program)),
      front_(reserve_port(reserved_)),
      ready_(reserve_port(reserved_)),
      control_(reserve_port(reserved_)),
      metrics_(reserve_port(reserved_)),
      link_(std::make_unique<proxy>(control_))
{
}

entry::~entry()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGCONT);
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

void entry::start(std::string const& store,
                  std::vector<std::string> const& seeds)
{
    auto const path = folder_ + "/" + name_ + ".toml";
    std::ofstream text(path);
    text << "[gateway]\nname = \"" << name_ << "\"\ndata_centre = \"" << zone_
         << "\"\ncaller_address = \"" << loopback(front_)
         << "\"\nready_address = \"" << loopback(ready_)
         << "\"\npeer_address = \"" << peer_address()
         << "\"\npeer_listen_address = \"" << loopback(control_)
         << "\"\nmetrics_address = \"" << loopback(metrics_)
         << "\"\nprocessors = 0.25\n\n[peers]\naddresses = [";
    for (auto const& seed : seeds)
        text << "\"" << seed << "\",";
    text << "]\n\n[store]\naddress = \"" << store
         << "\"\n\n[bounds]\nlongest_lease_ms = 1000\nremote_factor = 1.5\n"
         << "grace_seconds = 6\n\n[log]\npath = \"stdout\"\n";
    text.close();
    spawn();
}

void entry::restart()
{
    signal(SIGKILL);
    if (process_ > 0)
        ::waitpid(process_, nullptr, 0);
    spawn();
}

void entry::spawn()
{
    auto const path = folder_ + "/" + name_ + ".toml";
    auto const log = folder_ + "/" + name_ + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (auto const stream : {1, 2})
        posix_spawn_file_actions_addopen(&actions, stream, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    auto const setting = "MASTICSHIFT_CONFIG=" + path;
    std::vector<char*> environment;
    for (auto** each = environ; *each != nullptr; ++each)
        environment.push_back(*each);
    environment.push_back(const_cast<char*>(setting.c_str()));
    environment.push_back(nullptr);
    char* arguments[] = {const_cast<char*>(program_.c_str()), nullptr};
    if (::posix_spawn(&process_, program_.c_str(), &actions, nullptr, arguments,
                      environment.data()) != 0)
        process_ = -1;
    posix_spawn_file_actions_destroy(&actions);
    // For the script, if this program can't end the process itself.
    std::ofstream(folder_ + "/pids", std::ios::app) << process_ << "\n";
}

void entry::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

std::string const& entry::name() const
{
    return name_;
}

std::string const& entry::zone() const
{
    return zone_;
}

std::uint16_t entry::front() const
{
    return front_;
}

std::uint16_t entry::metrics() const
{
    return metrics_;
}

std::string entry::peer_address() const
{
    return loopback(link_->port());
}

proxy& entry::link()
{
    return *link_;
}

bool entry::ready() const
{
    return call_http(ready_, "GET", "/ready", {{"Host", "ready"}}, {}, 500)
               .status == 200;
}

bool entry::has_connection_from(std::uint16_t port) const
{
    auto const inode = socket_inode(port);
    auto const folder = "/proc/" + std::to_string(process_) + "/fd";
    std::error_code error;
    for (auto const& each : std::filesystem::directory_iterator(folder, error))
    {
        auto const target = std::filesystem::read_symlink(each.path(), error);
        if (!inode.empty() && target.string() == "socket:[" + inode + "]")
            return true;
    }
    return false;
}

bool entry::running() const
{
    return process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == 0;
}

json::object entry::status() const
{
    auto const result =
        call_http(metrics_, "GET", "/status", {{"Host", "status"}}, {}, 500);
    json::error_code error;
    auto const parsed = json::parse(result.body, error);
    return error || !parsed.is_object() ? json::object() : parsed.get_object();
}

deployment::deployment(std::string folder, std::string program, record& events)
    : folder_(std::move(folder)), program_(std::move(program)), events_(events)
{
    std::thread(
        [this]
        {
            for (;;)
            {
                sleep_ms(1);
                auto const count = worker_ids_.size();
                for (std::size_t i = 0; i < count; ++i)
                    workers_[i]->tick();
            }
        })
        .detach();
    workers_.reserve(100);
    worker_ids_.reserve(100);
}

void deployment::add_workers(std::string const& zone, int count)
{
    for (int i = 0; i < count; ++i)
    {
        auto const id = "w-" + zone + "-" + std::to_string(i);
        workers_.push_back(
            std::make_unique<worker>(worker_settings{id, zone}, events_));
        worker_ids_.push_back(id);
        std::thread(
            [this, id, registered = workers_.back().get()]
            {
                for (;;)
                {
                    if (!registered->is_down())
                        store_.write("servers", id, registered->next_entry());
                    sleep_ms(heartbeat_ms);
                }
            })
            .detach();
    }
}

std::size_t deployment::worker_count() const
{
    return workers_.size();
}

worker& deployment::worker_at(std::size_t number)
{
    return *workers_.at(number);
}

void deployment::crash_worker(std::size_t number, int down_ms,
                              std::string const& kind)
{
    auto& crashed = worker_at(number);
    crashed.crash(down_ms, kind);
    std::thread(
        [this, number, &crashed, down_ms]
        {
            sleep_ms(down_ms);
            store_.write("servers", worker_ids_[number], crashed.next_entry());
            events_.add(worker_ids_[number] + " is back and has registered");
        })
        .detach();
}

entry& deployment::add_entry(std::string const& zone)
{
    auto const name =
        "edge-" + zone + "-" + std::to_string(entries_of(zone).size() + 1);
    entries_.push_back(std::make_unique<entry>(name, zone, folder_, program_));
    return *entries_.back();
}

std::string deployment::zone_of_caller(std::uint16_t port) const
{
    for (auto const& each : entries_)
    {
        if (each->has_connection_from(port))
            return each->zone();
    }
    return {};
}

void deployment::cut_zone(std::string const& zone, int length_ms)
{
    events_.add(zone + " is cut off from the other zones for " +
                std::to_string(length_ms) + " ms");
    for (auto const& each : entries_)
        each->link().cut(length_ms,
                         [zone, own = each->zone()](std::string const& caller)
                         {
                             return (own == zone) != (caller == zone);
                         });
}

void deployment::configure(std::int64_t version, int target_latency_ms,
                           double slack_factor)
{
    json::object route{{"name", "orders"},
                       {"host", "orders.example"},
                       {"path_prefix", "/orders/"},
                       {"service", "orderdesk"},
                       {"priority", 0},
                       {"max_attempts", 4},
                       {"slack_factor", slack_factor},
                       {"target_latency_ms", target_latency_ms}};
    json::object body{
        {"version", version},
        {"routes", json::array{std::move(route)}},
        {"services", json::array{json::object{{"name", "orderdesk"},
                                              {"enforces_capacity", true}}}},
        {"limits", json::object()}};
    store_.write("op", "config", json::serialize(body));
}

void deployment::start_entries()
{
    std::vector<std::string> seeds;
    for (auto const& each : entries_)
    {
        if (seeds.size() < 3)
            seeds.push_back(each->peer_address());
    }
    for (auto const& each : entries_)
    {
        each->link().name_callers(
            [this](std::uint16_t port)
            {
                return zone_of_caller(port);
            });
        each->start(loopback(store_.port()), seeds);
    }
}

bool deployment::wait_until_ready()
{
    for (int tried = 0; tried < 200; ++tried)
    {
        sleep_ms(100);
        bool ready = true;
        for (auto const& each : entries_)
        {
            if (!each->ready() || dispatcher_of(each->zone()) == nullptr)
                ready = false;
            for (auto const& row :
                 ready ? each->status().at("dispatchers").as_array()
                       : json::array())
            {
                if (row.as_object().at("endpoints").as_int64() == 0)
                    ready = false;
            }
        }
        if (ready)
        {
            sleep_ms(1'500);
            return true;
        }
    }
    return false;
}

entry* deployment::dispatcher_of(std::string const& zone)
{
    for (auto const& known : entries_)
    {
        auto const status = known->status();
        if (!status.contains("cells"))
            continue;
        for (auto const& cell : status.at("cells").as_object())
        {
            if (std::string(cell.key()).starts_with(zone + "/"))
                return known.get();
        }
    }
    return nullptr;
}

std::vector<entry*> deployment::entries_of(std::string const& zone)
{
    std::vector<entry*> found;
    for (auto const& each : entries_)
    {
        if (each->zone() == zone)
            found.push_back(each.get());
    }
    return found;
}

void deployment::submit(client_job const& job, std::vector<entry*> entries)
{
    ++open_clients_;
    std::thread(
        [this, job, entries = std::move(entries)]
        {
            run_client(job, entries);
            --open_clients_;
        })
        .detach();
}

void deployment::run_client(client_job job, std::vector<entry*> entries)
{
    json::object step{{"count", job.tasks},
                      {"cpu", 6'800},
                      {"mem_mb", 64},
                      {"estimate_ms", job.task_ms}};
    if (!job.requires_label.empty())
        step["requires"] = job.requires_label;
    json::object body{{"best_effort", true},
                      {"spec", std::to_string(job.task_ms)},
                      {"steps", json::array{std::move(step)}}};
    for (int attempt = 0; attempt < job.attempts; ++attempt)
    {
        auto const& to =
            *entries[static_cast<std::size_t>(attempt) % entries.size()];
        events_.add("job " + job.id + " sent to " + to.name());
        auto const result =
            call_http(to.front(), "POST", "/orders/" + job.id,
                      {{"Host", "orders.example"},
                       {"Content-Type", "application/json"},
                       {"X-Deadline-Ms", std::to_string(job.time_limit_ms)}},
                      json::serialize(body), job.time_limit_ms);
        events_.add("job " + job.id + " at " + to.name() + ": " +
                    (result.status == 0
                         ? "no response (" + result.detail + ")"
                         : std::to_string(result.status) + " " + result.body));
        if (result.status != 0 && result.status != 502 && result.status != 504)
            return;
        sleep_ms(resend_ms);
    }
}

void deployment::wait_for_clients()
{
    while (open_clients_ > 0)
        sleep_ms(20);
}

std::vector<std::string> deployment::concurrent_runs() const
{
    std::vector<std::string> found;
    auto const runs = events_.runs();
    auto const end_of = [&](run_interval const& run)
    {
        return run.end < 0 ? events_.now() : run.end;
    };
    for (std::size_t i = 0; i < runs.size(); ++i)
    {
        for (std::size_t j = i + 1; j < runs.size(); ++j)
        {
            auto const& first = runs[i];
            auto const& second = runs[j];
            auto const overlap = std::min(end_of(first), end_of(second)) -
                                 std::max(first.begin, second.begin);
            if (first.task == second.task && overlap > 0)
                found.push_back(first.task + ": on " + first.worker + " and " +
                                second.worker + " for " +
                                std::to_string(overlap) + " ms");
        }
    }
    return found;
}

record& deployment::events()
{
    return events_;
}

void deployment::stop()
{
    entries_.clear();
    ::unlink((folder_ + "/pids").c_str());
}

} // namespace review
