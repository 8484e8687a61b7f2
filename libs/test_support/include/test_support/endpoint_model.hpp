#ifndef MASTICSHIFT_TEST_SUPPORT_ENDPOINT_MODEL_HPP
#define MASTICSHIFT_TEST_SUPPORT_ENDPOINT_MODEL_HPP

#include <dispatch/dispatcher.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// An endpoint in memory that enforces leases, fencing tokens and run numbers
/// as a real one does. Tests decide which calls are lost or late.
class endpoint_model
{
public:
    explicit endpoint_model(endpoint_record record) : record_(std::move(record))
    {
    }

    endpoint_record const& record() const
    {
        return record_;
    }

    order_response start(start_order const& order, std::int64_t clock,
                         duration length, bool fails)
    {
        end_due_runs(clock);
        if (order.token < token_)
            return order_response::outranked;
        token_ = order.token;
        if (order.lease_until < clock)
            return order_response::too_late;
        extend_lease(order.lease_until, clock);
        if (running_.contains(order.run))
            return order_response::accepted;
        auto const last = last_number_.find(order.run.task);
        if (last != last_number_.end() && order.run.number <= last->second)
            return order_response::run_too_old;
        auto const ms = std::chrono::duration_cast<milliseconds>(length);
        running_[order.run] = {clock, clock + ms.count(), fails};
        starts_.push_back(order.run);
        return order_response::accepted;
    }

    order_response stop(stop_order const& order, std::int64_t clock)
    {
        end_due_runs(clock);
        if (order.token < token_)
            return order_response::outranked;
        token_ = order.token;
        auto& last = last_number_[order.run.task];
        last = std::max(last, order.run.number);
        if (running_.erase(order.run) > 0)
            record_end(order.run, run_end::stopped);
        return order_response::accepted;
    }

    order_response list(list_order const& order, std::int64_t clock,
                        run_list& list)
    {
        end_due_runs(clock);
        if (order.token < token_)
            return order_response::outranked;
        token_ = order.token;
        if (order.lease_until)
            extend_lease(*order.lease_until, clock);
        std::erase_if(ended_,
                      [&](ended_run const& ended)
                      {
                          return ended.number <= order.acknowledged_end;
                      });
        for (auto const& [key, run] : running_)
            list.active.push_back({key, percent_of(run, clock)});
        list.ended = ended_;
        list.started_ms = record_.started_ms;
        return order_response::accepted;
    }

    /// Ends the runs that are done, and all runs if the lease has expired, by
    /// this time.
    void end_due_runs(std::int64_t clock)
    {
        for (auto each = running_.begin(); each != running_.end();)
        {
            auto const& [key, run] = *each;
            auto const next = std::next(each);
            if (run.done_at <= std::min(clock, lease_until_))
                end_run(each, run.fails ? run_end::failed : run_end::done);
            else if (lease_until_ <= clock)
                end_run(each, run_end::lapsed);
            each = next;
        }
    }

    std::size_t running() const
    {
        return running_.size();
    }

    std::vector<std::string> running_tasks(std::int64_t clock)
    {
        end_due_runs(clock);
        std::vector<std::string> tasks;
        for (auto const& [key, run] : running_)
            tasks.push_back(key.task);
        return tasks;
    }

    std::vector<run_key> const& starts() const
    {
        return starts_;
    }

    std::int64_t lease_until() const
    {
        return lease_until_;
    }

    /// Changes what the next process of the endpoint is. `processor`: in
    /// thousandths of a core.
    void set_kind(std::vector<std::string> labels, std::int64_t processor)
    {
        record_.labels = std::move(labels);
        record_.capacity.processor = processor;
    }

    /// Simulates a crash and a restart under the same id, which loses all
    /// state.
    void restart(std::int64_t started_ms)
    {
        record_.started_ms = started_ms;
        running_.clear();
        ended_.clear();
        last_number_.clear();
        token_ = 0;
        next_end_ = 1;
        lease_until_ = 0;
    }

private:
    struct run
    {
        std::int64_t started = 0;
        std::int64_t done_at = 0;
        bool fails = false;
    };

    static constexpr std::int64_t longest_lease_ms = 1'000;

    static int percent_of(run const& of, std::int64_t clock)
    {
        auto const length = std::max<std::int64_t>(of.done_at - of.started, 1);
        return static_cast<int>((clock - of.started) * 100 / length);
    }

    void extend_lease(std::int64_t until, std::int64_t clock)
    {
        lease_until_ =
            std::max(lease_until_, std::min(until, clock + longest_lease_ms));
    }

    void end_run(std::map<run_key, run>::iterator position, run_end end)
    {
        auto const key = position->first;
        running_.erase(position);
        record_end(key, end);
    }

    void record_end(run_key const& key, run_end end)
    {
        auto& last = last_number_[key.task];
        last = std::max(last, key.number);
        ended_.push_back({next_end_++, key, end});
    }

    endpoint_record record_;
    std::int64_t token_ = 0;
    std::int64_t lease_until_ = 0;
    std::int64_t next_end_ = 1;
    std::map<run_key, run> running_;
    std::vector<ended_run> ended_;
    std::map<std::string, std::int64_t> last_number_;
    std::vector<run_key> starts_;
};

inline endpoint_record make_endpoint(std::string const& id)
{
    endpoint_record record;
    record.id = id;
    record.vm = "vm-" + id;
    record.ip = "127.0.0.1";
    record.port = 1;
    record.service = "orders";
    record.capacity = {16'000, 32'768, 0};
    record.slots = 8;
    record.started_ms = 1'000;
    return record;
}

inline job_spec make_spec(std::string id, int tasks)
{
    job_spec spec;
    spec.id = std::move(id);
    job_step step;
    step.task_count = tasks;
    step.need = {6'800, 64, 0};
    step.estimate = milliseconds(60);
    spec.steps.push_back(step);
    spec.queue = "quotes";
    spec.service = "orders";
    spec.max_attempts = 3;
    spec.slack_factor = 1.6;
    spec.target_latency = milliseconds(60);
    spec.caller_timeout = milliseconds(5'000);
    return spec;
}

} // namespace masticshift::dispatch

#endif
