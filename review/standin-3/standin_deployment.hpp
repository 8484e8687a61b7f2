#ifndef REVIEW_STANDIN_3_DEPLOYMENT_HPP
#define REVIEW_STANDIN_3_DEPLOYMENT_HPP

#include "standin_platform.hpp"

#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review
{

/// Prefixes of the two queues of the first configuration. Jobs are submitted to
/// the first one.
inline std::string const job_prefix = "/q1/";
inline std::string const other_prefix = "/q2/";

/// One process of the system, started with the command of the deploy file.
class entry_process
{
public:
    entry_process(record& log, std::string program, std::string folder,
                  std::string name, std::string zone, address store);
    ~entry_process();

    entry_process(entry_process const&) = delete;
    entry_process& operator=(entry_process const&) = delete;

    /// Writes the settings file as the platform does from the template.
    void write_settings(std::vector<std::string> const& seeds) const;
    void start();
    void signal(int number);
    /// Whether the process has ended.
    bool has_ended();
    asio::awaitable<bool> wait_until_ended(milliseconds limit);
    asio::awaitable<bool> wait_until_ready(milliseconds limit);

    address front() const
    {
        return front_;
    }
    std::string control() const
    {
        return to_string(control_);
    }
    std::string const& name() const
    {
        return name_;
    }

private:
    std::string settings_path() const;

    record& log_;
    std::string program_;
    std::string folder_;
    std::string name_;
    std::string zone_;
    address store_;
    address front_;
    address ready_;
    address control_;
    address metrics_;
    pid_t pid_ = 0;
};

/// A small deployment: a store, workers and entries on loopback addresses.
class deployment
{
public:
    deployment(asio::io_context& context, record& log, std::string program,
               std::string folder);

    void add_workers(std::string const& zone, int count);
    /// One entry in each of these zones.
    void add_entries(std::vector<std::string> const& zones);
    asio::awaitable<bool> start_entries();

    entry_process& entry(std::size_t number)
    {
        return *entries_.at(number);
    }
    std::size_t entries() const
    {
        return entries_.size();
    }
    worker& worker_at(std::size_t number)
    {
        return *workers_.at(number);
    }
    observations& seen()
    {
        return seen_;
    }
    store& platform()
    {
        return store_;
    }

    /// Writes a configuration with these queues.
    void configure(std::int64_t version,
                   std::vector<std::string> const& prefixes);

    /// A job whose steps come one after the other, each of `tasks` equal tasks.
    /// Each task runs for `run_ms`.
    asio::awaitable<call_outcome> submit(std::size_t entry, std::string id,
                                         int steps, int tasks, int run_ms,
                                         milliseconds timeout);
    asio::awaitable<call_outcome> cancel(std::size_t entry, std::string id,
                                         milliseconds timeout);
    /// Number of starts of the job's tasks that workers have seen.
    std::size_t starts_of(std::string const& id) const;
    /// Whether a task of the job is running.
    bool is_running(std::string const& id) const;

private:
    asio::io_context& context_;
    record& log_;
    std::string program_;
    std::string folder_;
    observations seen_;
    store store_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<std::unique_ptr<entry_process>> entries_;
};

} // namespace review

#endif
