#ifndef REVIEW_STANDIN_RECORD_HPP
#define REVIEW_STANDIN_RECORD_HPP

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

/// One execution of a task at a worker, in milliseconds of the record.
struct run_interval
{
    std::string task;
    std::int64_t run = 0;
    std::string worker;
    std::string kind;
    double begin = 0;
    /// Negative while it runs.
    double end = -1;
    std::string how;
};

/// Everything that clients, workers and the test did, in order of time.
class record
{
public:
    explicit record(std::string const& path);

    /// Milliseconds since the record was opened.
    double now() const;
    void add(std::string const& line);

    std::size_t run_begun(run_interval run);
    void run_ended(std::size_t index, std::string const& how);
    std::vector<run_interval> runs() const;

private:
    double start_ = 0;
    mutable std::mutex mutex_;
    std::ofstream file_;
    std::vector<run_interval> runs_;
};

} // namespace review

#endif
