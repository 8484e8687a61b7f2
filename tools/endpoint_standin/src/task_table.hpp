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

/// The answer to a task, kept for `GET /v1/answers`.
struct task_result
{
    unsigned status = 200;
    std::string body;
    std::string content_type;
};

struct task_table_limits
{
    std::size_t kept_results = 4'096;
    std::size_t kept_refusals = 65'536;
};

/// What an endpoint knows of attempts, by their names. The oldest results and
/// refusals are forgotten beyond the limits.
class task_table
{
public:
    explicit task_table(task_table_limits limits = {});

    /// Attempts that run now.
    std::size_t running() const;
    bool is_running(std::string const& task) const;
    bool is_refused(std::string const& task) const;
    /// Null when there is none.
    task_result const* result_of(std::string const& task) const;

    /// `stop` is called when the attempt is cancelled. An attempt that is
    /// sent twice runs twice: the stand-in shows what it was told to do.
    void begin(std::string const& task, std::function<void()> stop);
    void end(std::string const& task, task_result result);
    /// The attempt will never run from now on.
    void refuse(std::string const& task);
    /// Stops a running attempt, and refuses one that was never seen.
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
