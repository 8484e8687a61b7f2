// Compares policies on an event queue over three engines and endpoints that
// refuse what they have no slot for. Prints one line per load and policy.

#include "fixture.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <sstream>

DEFINE_uint32(endpoints, 16, "endpoints, of speeds 0.5 to 2");
DEFINE_uint32(jobs, 20'000, "jobs for each line");
DEFINE_uint32(job_tasks, 10, "tasks of a job");
DEFINE_uint32(seed, 1, "seed of all random draws");
DEFINE_uint32(failing, 0, "endpoints that fail everything after 1 ms");
DEFINE_double(size_error, 0.7, "sigma of the logarithm of size errors");
DEFINE_double(loan_ms, 200, "least length of loans");
DEFINE_double(ageing, 1, "work that a second of waiting makes up for");
DEFINE_double(loan_run_times, 8, "mean run times that a loan lasts for");
DEFINE_uint32(loan_batch, 16, "slots asked for at once");
DEFINE_string(loads, "0.3,0.5,0.8", "parts of the capacity");
DEFINE_string(policies, "", "all when empty; one_queue is a single entry");

using namespace masticshift;
using namespace masticshift::placement;
using namespace masticshift::placement::testing;

namespace
{

constexpr double mean_run_ms = 200;
constexpr double one_way_ms = 0.25;
constexpr double heartbeat_ms = 500;
constexpr double failing_ms = 1;

struct job_record
{
    double start = 0;
    double longest = 0;
    unsigned entry = 0;
    unsigned left = 0;
    std::vector<double> work;
};

class trial
{
public:
    trial(std::string const& policy, double load)
        : random_(FLAGS_seed),
          text_(text_of(FLAGS_endpoints)),
          busy_(FLAGS_endpoints)
    {
        bool const single = policy == "one_queue";
        shares_ = single ? std::vector{1.0} : std::vector{0.5, 0.3, 0.2};
        for (unsigned i = 0; i < FLAGS_endpoints; ++i)
            speeds_.push_back(0.5 * std::exp2(2.0 * i / (FLAGS_endpoints - 1)));
        double capacity = 0;
        for (double const speed : speeds_)
            capacity += 8 * speed;
        gap_ms_ = FLAGS_job_tasks * mean_run_ms / (capacity * load);
        text_.services["s"].run_time = milliseconds(100);
        for (unsigned i = 0; i < shares_.size(); ++i)
        {
            auto settings = settings_of(address(i));
            settings.loan = at_ms(FLAGS_loan_ms) - at_ms(0);
            settings.loan_batch = FLAGS_loan_batch;
            settings.loan_run_times = FLAGS_loan_run_times;
            settings.ageing = FLAGS_ageing;
            entries_.push_back(
                *make_engine(single ? "lending_eager" : policy, settings));
            entries_[i].configure(text_, at_ms(0));
        }
    }

    void run()
    {
        heartbeat();
        arrive();
        while (!events_.empty())
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at;
            next.act();
        }
    }

    void print(std::string const& policy, double load)
    {
        std::ranges::sort(slowdowns_);
        double sum = 0;
        for (double const slowdown : slowdowns_)
            sum += slowdown;
        auto const n = slowdowns_.size();
        std::printf("%.2f %-17s jobs %6zu refused %5u failed %5u mean %6.2f "
                    "p99 %7.2f extra/task %.4f refusals %.5f late_failing "
                    "%.5f us/task %.2f\n",
                    load, policy.c_str(), n, refused_, failed_, n ? sum / n : 0,
                    n ? slowdowns_[n * 99 / 100] : 0, extra_ / tasks_,
                    refusals_ / tasks_, late_failing_ / tasks_,
                    spent_.count() / 1e3 / tasks_);
    }

private:
    struct event
    {
        double at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(event const& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    static std::string address(unsigned entry)
    {
        return "10.0.0." + std::to_string(entry + 1) + ":9000";
    }
    void later(double ms, std::function<void()> act)
    {
        events_.push({now_ + ms, next_order_++, std::move(act)});
    }
    template <class Call>
    auto timed(Call call)
    {
        struct stopwatch
        {
            ~stopwatch()
            {
                total += std::chrono::steady_clock::now() - start;
            }
            std::chrono::nanoseconds& total;
            time_point start = std::chrono::steady_clock::now();
        } const running{spent_};
        return call();
    }

    void heartbeat()
    {
        std::vector<entry_view> views;
        for (unsigned i = 0; i < entries_.size(); ++i)
        {
            views.push_back(view_of(address(i)));
            views.back().sequence = static_cast<std::uint64_t>(now_) + 1;
            views.back().loads = entries_[i].load(at_ms(now_));
        }
        for (unsigned i = 0; i < entries_.size(); ++i)
        {
            timed(
                [&]
                {
                    entries_[i].set_entries(views, at_ms(now_));
                });
            act(i);
        }
        if (arrived_ < FLAGS_jobs || !jobs_.empty())
            later(heartbeat_ms,
                  [this]
                  {
                      heartbeat();
                  });
    }

    void arrive()
    {
        auto const id = ++arrived_;
        std::discrete_distribution<unsigned> pick(shares_.begin(),
                                                  shares_.end());
        std::lognormal_distribution<double> run(-0.5, 1.0);
        std::lognormal_distribution<double> error(0, FLAGS_size_error);
        job_record job{now_, 0, pick(random_), FLAGS_job_tasks, {}};
        std::vector<float> sizes;
        for (unsigned i = 0; i < FLAGS_job_tasks; ++i)
        {
            job.work.push_back(mean_run_ms * run(random_));
            job.longest = std::max(job.longest, job.work.back());
            sizes.push_back(static_cast<float>(job.work.back() / mean_run_ms *
                                               error(random_)));
        }
        auto const entry = job.entry;
        auto const answer = timed(
            [&]
            {
                return entries_[entry].admit(job_of(id, sizes), at_ms(now_));
            });
        if (answer.accepted())
            jobs_[id] = std::move(job);
        else
            ++refused_;
        act(entry);
        std::exponential_distribution<double> gap(1 / gap_ms_);
        if (arrived_ < FLAGS_jobs)
            later(gap(random_),
                  [this]
                  {
                      arrive();
                  });
    }

    // What a daemon does after any change at an entry.
    void act(unsigned i)
    {
        auto& entry = entries_[i];
        auto const now = at_ms(now_);
        for (auto const& start : timed(
                 [&]
                 {
                     return entry.place(now);
                 }))
            send(i, start);
        for (auto const& call : timed(
                 [&]
                 {
                     return entry.wanted(now);
                 }))
            borrow(i, call);
        for (auto const& back : timed(
                 [&]
                 {
                     return entry.surplus(now);
                 }))
            give(i, back);
        auto const next = timed(
            [&]
            {
                return entry.next_event(now);
            });
        if (!next || (planned_[i] > now_ && at_ms(planned_[i]) <= *next))
            return;
        planned_[i] = now_ + std::max(0.01, to_milliseconds(*next - now));
        later(planned_[i] - now_,
              [this, i]
              {
                  if (arrived_ < FLAGS_jobs || !jobs_.empty())
                      act(i);
              });
    }

    void send(unsigned i, assignment const& start)
    {
        auto const endpoint = std::stoul(start.endpoint->name.substr(1));
        ++tasks_;
        bool const fails = endpoint < FLAGS_failing;
        late_failing_ += fails && now_ > 1'000 ? 1 : 0;
        later(one_way_ms,
              [this, i, endpoint, fails, ref = start.task]
              {
                  bool const full = busy_[endpoint] >= 8;
                  auto const& work = jobs_[ref.job].work;
                  double const ms = full ? 0
                                    : fails
                                        ? failing_ms
                                        : work[ref.task] / speeds_[endpoint];
                  busy_[endpoint] += full ? 0 : 1;
                  auto const result = full    ? task_result::refused_not_run
                                      : fails ? task_result::failed
                                              : task_result::ok;
                  later(ms,
                        [this, endpoint, full]
                        {
                            busy_[endpoint] -= full ? 0 : 1;
                        });
                  later(ms + one_way_ms,
                        [this, i, ref, result, ms]
                        {
                            end(i, ref, result, ms + 2 * one_way_ms);
                        });
              });
    }

    void end(unsigned i, task_ref ref, task_result result, double ms)
    {
        auto& entry = entries_[i];
        auto const now = at_ms(now_);
        auto& job = jobs_[ref.job];
        timed(
            [&]
            {
                entry.finished(ref, result, at_ms(ms) - at_ms(0), now);
            });
        if (result == task_result::refused_not_run)
        {
            ++refusals_;
            extra_ += 2;
            if (!timed(
                    [&]
                    {
                        return entry.requeue(ref, now);
                    }))
                fail(i, ref.job);
        }
        else if (result == task_result::failed)
            fail(i, ref.job);
        else if (--job.left == 0)
        {
            slowdowns_.push_back((now_ - job.start) /
                                 (job.longest / speeds_.back()));
            jobs_.erase(ref.job);
        }
        act(i);
    }

    // The others of the job run on here, so that the record stays.
    void fail(unsigned i, std::uint64_t job)
    {
        failed_ += jobs_[job].left < 1'000'000 ? 1 : 0;
        jobs_[job].left = 2'000'000;
        entries_[i].cancel(job, at_ms(now_));
        later(60'000,
              [this, job]
              {
                  jobs_.erase(job);
              });
    }

    void borrow(unsigned i, borrow_request const& call)
    {
        extra_ += 2;
        later(2 * one_way_ms,
              [this, i, call]
              {
                  unsigned lender = 0;
                  while (address(lender) != call.lender)
                      ++lender;
                  auto const loans = timed(
                      [&]
                      {
                          return entries_[lender].lend(call.service, call.count,
                                                       address(i), 1,
                                                       at_ms(now_));
                      });
                  later(2 * one_way_ms,
                        [this, i, call, loans]
                        {
                            entries_[i].borrowed(call.lender, loans,
                                                 at_ms(now_));
                            act(i);
                        });
              });
    }

    void give(unsigned i, give_back const& back)
    {
        extra_ += 2;
        unsigned lender = 0;
        while (address(lender) != back.lender)
            ++lender;
        entries_[lender].given_back(address(i), 1, back.slots, at_ms(now_));
        later(0,
              [this, lender]
              {
                  act(lender);
              });
    }

    std::mt19937_64 random_;
    config::service_text text_;
    std::vector<double> speeds_;
    std::vector<double> shares_;
    std::vector<unsigned> busy_;
    std::vector<any_engine> entries_;
    std::map<unsigned, double> planned_;
    std::map<std::uint64_t, job_record> jobs_;
    std::priority_queue<event> events_;
    std::vector<double> slowdowns_;
    std::chrono::nanoseconds spent_{};
    std::uint64_t next_order_ = 0;
    std::uint64_t arrived_ = 0;
    double now_ = 0;
    double gap_ms_ = 0;
    double tasks_ = 0;
    double extra_ = 0;
    double refusals_ = 0;
    double late_failing_ = 0;
    unsigned refused_ = 0;
    unsigned failed_ = 0;
};

std::vector<std::string> split(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto policies = split(FLAGS_policies);
    if (policies.empty())
    {
        policies.assign(policy_names().begin(), policy_names().end());
        policies.emplace_back("one_queue");
    }
    for (auto const& load : split(FLAGS_loads))
    {
        for (auto const& policy : policies)
        {
            trial run(policy, std::stod(load));
            run.run();
            run.print(policy, std::stod(load));
        }
    }
}
