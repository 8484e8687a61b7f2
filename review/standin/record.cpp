#include "record.hpp"

#include <chrono>
#include <cstdio>

namespace review
{

namespace
{

double steady_ms()
{
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

record::record(std::string const& path) : start_(steady_ms()), file_(path)
{
}

double record::now() const
{
    return steady_ms() - start_;
}

void record::add(std::string const& line)
{
    std::lock_guard const lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%10.1f ms  ", now());
    file_ << time << line << std::endl;
}

std::size_t record::run_begun(run_interval run)
{
    add("run " + run.task + " run " + std::to_string(run.run) + " begins on " +
        run.worker + ", kind " + run.kind);
    std::lock_guard const lock(mutex_);
    run.begin = now();
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
}

void record::run_ended(std::size_t index, std::string const& how)
{
    std::string line;
    {
        std::lock_guard const lock(mutex_);
        auto& run = runs_.at(index);
        run.end = now();
        run.how = how;
        line = "run " + run.task + " run " + std::to_string(run.run) +
               " ends on " + run.worker + ": " + how;
    }
    add(line);
}

std::vector<run_interval> record::runs() const
{
    std::lock_guard const lock(mutex_);
    return runs_;
}

} // namespace review
