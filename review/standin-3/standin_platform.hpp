#ifndef REVIEW_STANDIN_3_PLATFORM_HPP
#define REVIEW_STANDIN_3_PLATFORM_HPP

#include "standin_http.hpp"

#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review
{

/// What was sent, answered and run, a line each with the time in milliseconds.
class record
{
public:
    explicit record(std::string const& path);

    void add(std::string const& line);
    /// Time since the beginning.
    milliseconds now() const;

private:
    std::ofstream file_;
    steady_clock::time_point begun_;
};

/// The platform's store: the calls on rows that a gateway makes.
class store
{
public:
    store(asio::io_context& context, std::string ip);

    address where() const;
    void put(std::string const& table, std::string const& key,
             std::string const& value);
    void remove(std::string const& table, std::string const& key);

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
        bool removed = false;
    };

    asio::awaitable<std::optional<response>> handle(request const& message);
    response transact(std::string const& body);
    response read(std::map<std::string, std::string> const& query) const;
    asio::awaitable<std::optional<response>>
    follow(std::map<std::string, std::string> query);
    json::object row_json(std::string const& table, std::string const& key,
                          row const& of) const;
    json::object versions() const;

    asio::steady_timer changed_;
    std::string ip_;
    std::int64_t version_ = 0;
    steady_clock::time_point begun_ = steady_clock::now();
    std::map<std::string, std::map<std::string, row>> tables_;
    http_listener listener_;
};

/// A run as an observer of the worker sees it.
struct observed_start
{
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    milliseconds at{0};
};

/// What the workers have seen.
struct observations
{
    std::vector<observed_start> starts;
    /// Tasks that ran twice at the same time.
    std::vector<std::string> concurrent;
    std::map<std::string, int> running;
};

/// One worker. A task runs for the number of milliseconds in its `spec`.
class worker
{
public:
    worker(asio::io_context& context, record& log, observations& seen,
           store& registry, std::string ip, std::string id, std::string zone,
           std::string service);

    void start();
    /// Reports at once, and from then on, that it drains. It serves on.
    void drain();
    std::string const& id() const
    {
        return id_;
    }
    address where() const
    {
        return {ip_, listener_.port()};
    }
    /// Number of its reports to the store so far.
    std::int64_t reports() const
    {
        return sequence_;
    }

private:
    struct run_state
    {
        steady_clock::time_point begun;
        milliseconds length{0};
    };

    struct ended
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    using run_key = std::pair<std::string, std::int64_t>;

    asio::awaitable<std::optional<response>> handle(request const& message);
    response start_run(json::object const& body);
    response stop_run(json::object const& body);
    asio::awaitable<std::optional<response>> hold(json::object body);
    asio::awaitable<void> report();
    void write_row();
    asio::awaitable<void> watch_runs();
    void end_due();
    void end_run(run_key const& key, std::string const& how);
    void extend(json::object const& body);
    std::int64_t clock_ms() const;
    json::object basics() const;
    response refuse(std::string const& reason) const;
    /// Whether the call carries a lower epoch number than an earlier one.
    bool is_fenced(json::object const& body);

    asio::io_context& context_;
    record& log_;
    observations& seen_;
    store& registry_;
    std::string ip_;
    std::string id_;
    std::string zone_;
    std::string service_;
    std::int64_t born_ms_;
    bool draining_ = false;
    steady_clock::time_point clock_begun_ = steady_clock::now();
    std::int64_t token_ = 0;
    std::int64_t lease_until_ = 0;
    std::int64_t next_end_ = 1;
    std::int64_t sequence_ = 0;
    std::map<run_key, run_state> running_;
    std::map<std::string, std::int64_t> highest_;
    std::vector<ended> ended_;
    asio::steady_timer changed_;
    http_listener listener_;
};

} // namespace review

#endif
