#ifndef MASTICSHIFT_ENDPOINT_STANDIN_TASK_TABLE_HPP
#define MASTICSHIFT_ENDPOINT_STANDIN_TASK_TABLE_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace masticshift::endpoint_standin
{

/// The response to a task, kept for `GET /v1/answers`.
struct task_result
{
    unsigned status = 200;
    std::string body;
    std::string content_type;
};

struct task_table_limits
{
    std::size_t max_results = 4'096;
    std::size_t max_refusals = 65'536;
};

/// Running attempts, results and refusals of an endpoint, by attempt name. The
/// oldest results and refusals are evicted beyond the limits.
class task_table
{
public:
    explicit task_table(task_table_limits limits = {});

    /// Number of running attempts.
    std::size_t running() const;
    bool is_running(std::string const& task) const;
    bool is_refused(std::string const& task) const;
    /// Null if the attempt has no kept result.
    task_result const* result_of(std::string const& task) const;

    /// Adds a running attempt; `stop` is called when it is cancelled. An
    /// attempt that is sent twice runs twice, so that the history shows the
    /// duplicate.
    void start(std::string const& task, std::function<void()> stop);
    void end(std::string const& task, task_result result);
    /// Records a refusal: the attempt must not start later.
    void refuse(std::string const& task);
    /// Stops a running attempt. Refuses one that is neither running nor has a
    /// kept result.
    void cancel(std::string const& task);

private:
    task_table_limits limits_;
    std::unordered_multimap<std::string, std::function<void()>> running_;
    std::unordered_map<std::string, task_result> results_;
    std::deque<std::string> result_order_;
    std::unordered_set<std::string> refused_;
    std::deque<std::string> refusal_order_;
};

} // namespace masticshift::endpoint_standin

#endif
