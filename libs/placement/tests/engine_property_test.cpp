#include "fixture.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <set>
#include <tuple>

using namespace masticshift;
using namespace masticshift::placement;
using namespace masticshift::placement::testing;

namespace
{

constexpr unsigned engine_count = 3;
constexpr unsigned steps = 400;

struct slot_key
{
    std::string endpoint;
    unsigned slot = 0;

    friend bool operator==(slot_key const&, slot_key const&) = default;
    friend bool operator<(slot_key const& a, slot_key const& b)
    {
        return std::tie(a.endpoint, a.slot) < std::tie(b.endpoint, b.slot);
    }
};

struct running_task
{
    unsigned engine = 0;
    assignment start;
    slot_key slot;
    time_point loan_end = time_point::max();
};

struct loan_response
{
    unsigned borrower = 0;
    std::string lender;
    std::vector<loan> loans;
};

/// Three engines with the same entries and configuration, driven by random
/// steps.
class random_scenario
{
public:
    explicit random_scenario(std::string_view policy)
    {
        std::vector<live_entry> views;
        for (unsigned i = 0; i < engine_count; ++i)
            views.push_back(view_of(address(i)));
        for (unsigned i = 0; i < engine_count; ++i)
        {
            engines_.push_back(*make_engine(policy, settings_of(address(i))));
            engines_[i].configure(text_of(6, 4), at_ms(0));
            engines_[i].set_entries(views, at_ms(0));
        }
    }

    void step()
    {
        now_ += *rc::gen::inRange(0, 60);
        auto const engine = *rc::gen::inRange(0U, engine_count);
        switch (*rc::gen::inRange(0, 12))
        {
        case 0:
        case 1:
            // The first engine gets most jobs and the last none, so that slots
            // are lent.
            admit(engine / 2);
            break;
        case 2:
            borrow(engine);
            break;
        case 3:
            deliver_responses();
            return_surplus(engine);
            break;
        case 4:
            cancel(engine);
            break;
        default:
            finish_one();
            break;
        }
        place(engine);
    }

    void finish_all()
    {
        for (unsigned round = 0; round < 100 * steps; ++round)
        {
            now_ += 50;
            for (unsigned i = 0; i < engine_count; ++i)
                place(i);
            if (running_.empty() && unfinished() == 0)
                return;
            while (!running_.empty())
                finish(0, task_result::ok);
        }
        RC_FAIL("some jobs did not end");
    }

    unsigned borrowed() const
    {
        return borrowed_;
    }

    std::size_t unfinished() const
    {
        std::size_t jobs = 0;
        for (auto const& engine : engines_)
            jobs += engine.status(now()).services.at(0).jobs;
        return jobs;
    }

private:
    static std::string address(unsigned engine)
    {
        return "10.0.0." + std::to_string(engine) + ":1";
    }
    time_point now() const
    {
        return at_ms(now_);
    }

    void admit(unsigned engine)
    {
        std::vector<float> sizes(*rc::gen::inRange<std::size_t>(1, 9));
        for (auto& size : sizes)
            size = static_cast<float>(*rc::gen::inRange(1, 30)) / 10;
        auto const result =
            engines_[engine].admit(job_of(++jobs_, sizes), now());
        RC_ASSERT(result.accepted());
    }

    void place(unsigned engine)
    {
        for (auto const& start : engines_[engine].place(now()))
        {
            running_task task{
                engine, start, {start.endpoint->name, start.slot}};
            if (start.borrowed)
                task.loan_end = loan_ends_.at(task.slot);
            // A task starts again only if the last attempt certainly did not
            // start.
            RC_ASSERT(started_.insert(start.task).second);
            for (auto const& other : running_)
                check_slot(task, other);
            running_.push_back(task);
            borrowed_ += start.borrowed ? 1 : 0;
        }
    }

    void check_slot(running_task const& task, running_task const& other) const
    {
        if (task.slot != other.slot)
            return;
        RC_ASSERT(task.engine != other.engine);
        // Two tasks may share a slot only if the earlier one still runs after
        // the end of its loan.
        RC_ASSERT(other.start.borrowed);
        RC_ASSERT(other.loan_end < now());
    }

    void finish_one()
    {
        if (running_.empty())
            return;
        auto const index = *rc::gen::inRange<std::size_t>(0, running_.size());
        auto const result = *rc::gen::element(
            task_result::ok, task_result::ok, task_result::failed,
            task_result::lost, task_result::refused_not_run,
            task_result::not_connected);
        finish(index, result);
    }

    void finish(std::size_t index, task_result result)
    {
        auto const task = running_[index];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
        auto& engine = engines_[task.engine];
        auto const ref = task.start.task;
        engine.finished(ref, result, milliseconds(50), now());
        if (!certainly_not_started(result))
            return;
        if (engine.requeue(ref, now()))
            started_.erase(ref);
        else
            engine.cancel(ref.job, now());
    }

    void cancel(unsigned engine)
    {
        if (jobs_ == 0)
            return;
        auto const job = *rc::gen::inRange<std::uint64_t>(1, jobs_ + 1);
        auto const returned = engines_[engine].cancel(job, now());
        std::set<task_ref> expected;
        for (auto const& task : running_)
        {
            if (task.engine == engine && task.start.task.job == job)
                expected.insert(task.start.task);
        }
        RC_ASSERT(std::set<task_ref>(returned.begin(), returned.end()) ==
                  expected);
    }

    // Lenders handle calls immediately; the responses are delayed or lost.
    void borrow(unsigned borrower)
    {
        update_loads(borrower);
        for (auto const& call : engines_[borrower].take_borrow_requests(now()))
        {
            unsigned lender = 0;
            while (address(lender) != call.lender)
                ++lender;
            auto const loans = engines_[lender].lend(
                call.service, call.count, address(borrower), 1, now());
            for (auto const& loan : loans)
                loan_ends_[{loan.endpoint, loan.slot}] = now() + loan.valid;
            if (*rc::gen::inRange(0, 4) != 0)
                responses_.push_back({borrower, call.lender, loans});
        }
    }

    void deliver_responses()
    {
        for (auto const& response : responses_)
            engines_[response.borrower].accept_loans(response.lender,
                                                     response.loans, now());
        responses_.clear();
    }

    void update_loads(unsigned engine)
    {
        std::vector<live_entry> views;
        for (unsigned i = 0; i < engine_count; ++i)
        {
            views.push_back(view_of(address(i)));
            views.back().loads = engines_[i].load(now());
        }
        engines_[engine].set_entries(views, now());
    }

    void return_surplus(unsigned borrower)
    {
        update_loads(borrower);
        for (auto const& returned :
             engines_[borrower].take_surplus_loans(now()))
        {
            for (unsigned i = 0; i < engine_count; ++i)
            {
                if (address(i) == returned.lender)
                    engines_[i].accept_returned_loans(address(borrower), 1,
                                                      returned.slots, now());
            }
        }
    }

    std::vector<any_engine> engines_;
    std::vector<loan_response> responses_;
    std::vector<running_task> running_;
    std::map<slot_key, time_point> loan_ends_;
    std::set<task_ref> started_;
    std::uint64_t jobs_ = 0;
    unsigned borrowed_ = 0;
    int now_ = 0;
};

} // namespace

TEST_CASE("engines start each task once and share slots only by loans in "
          "random scenarios")
{
    for (auto const policy : policy_names())
    {
        CHECK(rc::check(std::string(policy),
                        [policy]
                        {
                            random_scenario scenario(policy);
                            for (unsigned i = 0; i < steps; ++i)
                                scenario.step();
                            scenario.finish_all();
                            RC_ASSERT(scenario.unfinished() == 0U);
                            RC_CLASSIFY(scenario.borrowed() > 0, "borrowed");
                        }));
    }
}
