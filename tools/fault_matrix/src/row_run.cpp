#include "row_run.hpp"

#include "call_load.hpp"
#include "fault_injector.hpp"

#include <test_support/cluster.hpp>
#include <test_support/log_watch.hpp>

#include <algorithm>
#include <csignal>
#include <exception>
#include <future>
#include <thread>

namespace masticshift::fault_matrix
{

namespace
{

using history::rule;
using test_support::log_watch;

constexpr unsigned first_submissions = 30;
constexpr unsigned last_submissions = 30;
constexpr milliseconds step_timeout{10'000};
constexpr milliseconds progress_timeout{20'000};
constexpr unsigned min_isolated_answers = 5;
/// Longer than any caller needs to settle its last submission.
constexpr milliseconds finish_timeout{60'000};
/// Longer than `configuration_bound` of the checker, 3,000 ms after the commit
/// of a revision, from which on entries must use it.
constexpr milliseconds configuration_wait{3'300};

std::size_t index_of(rule number)
{
    return static_cast<std::size_t>(number) - 1;
}

/// Minimum numbers of facts for the rules that every row exercises, and for the
/// rule under test.
history::check_options options_for(row const& tested)
{
    history::check_options options;
    options.minimum_examined[index_of(rule::task_starts_once)] = 20;
    options.minimum_examined[index_of(rule::answer_complete)] = 20;
    options.minimum_examined[index_of(rule::answer_own)] = 20;
    options.minimum_examined[index_of(rule::not_run_true)] = 1;
    options.minimum_examined[index_of(rule::request_runs_once)] = 5;
    options.minimum_examined[index_of(rule::graceful_stop)] = 1;
    options.minimum_examined[index_of(rule::configuration_in_force)] = 3;
    auto& own = options.minimum_examined[index_of(tested.rule_under_test)];
    own = std::max<std::size_t>(own, 1);
    return options;
}

std::string to_text(history::rule_report const& report)
{
    return "rule " + std::to_string(static_cast<unsigned>(report.number));
}

void add_findings(std::vector<history::rule_report> const& reports,
                  verdict& result)
{
    for (auto const& report : reports)
    {
        if (report.examined < report.required)
            result.reasons.push_back(
                to_text(report) + ": " + std::to_string(report.examined) +
                " facts examined, required " + std::to_string(report.required));
        for (auto const& broken : report.violations)
        {
            result.reasons.push_back(to_text(report) + ": " + broken.detail);
            for (auto const& line : broken.evidence)
                result.reasons.push_back("    " + line);
        }
    }
}

/// Replaces the addresses of endpoints in the entries' histories by the
/// endpoints' own names: entries know an endpoint by the address of the relay
/// in front of it.
class endpoint_naming
{
public:
    explicit endpoint_naming(std::map<std::string, std::string> names)
        : names_(std::move(names))
    {
    }

    void operator()(history::task_started& started) const
    {
        rename(started.endpoint);
    }

    void operator()(history::endpoint_leaving_seen& seen) const
    {
        rename(seen.endpoint);
    }

    void operator()(history::vm_state& recorded) const
    {
        rename(recorded.address);
    }

    template <class Event>
    void operator()(Event&) const
    {
    }

private:
    void rename(std::string& address) const
    {
        auto const known = names_.find(address);
        if (known != names_.end())
            address = known->second;
    }

    std::map<std::string, std::string> names_;
};

/// Entries that two faults together isolate from the platform and all peers.
std::vector<std::size_t> isolated_entries(row const& tested)
{
    auto const has = [&](fault kind)
    {
        return std::ranges::find(tested.faults, kind) != tested.faults.end();
    };
    if (!has(fault::cut_peers) && !has(fault::isolate_entry))
        return {};
    if (has(fault::endpoint_leaves_unseen))
        return {0, 2};
    if (has(fault::cut_platform))
        return {0};
    return {};
}

class row_run
{
public:
    row_run(row const& tested, run_options const& options)
        : row_(tested), options_(options), system_(system_options(options))
    {
    }

    verdict run()
    {
        auto const started = system_.start();
        if (!started)
            return fail("start: " + started.error().detail);
        run_load();
        auto const stopped = system_.stop();
        if (!stopped)
            fail("stop: " + stopped.error().detail);
        check();
        result_.passed = result_.reasons.empty();
        if (!result_.passed)
            keep_histories();
        return result_;
    }

private:
    static test_support::cluster_options
    system_options(run_options const& options)
    {
        test_support::cluster_options made;
        made.programs = options.programs;
        return made;
    }

    verdict fail(std::string const& reason)
    {
        result_.reasons.push_back(reason);
        return result_;
    }

    void run_load()
    {
        load_options options;
        options.seed = options_.seed;
        for (auto const& entry : system_.entries())
            options.entries.push_back(entry.caller_port.address());
        call_load load(options, system_.records());
        fault_injector injector(system_, load);
        load.start();
        if (!load.wait_for(first_submissions, progress_timeout))
            fail("submissions did not settle in time before the fault");
        reach_step();
        inject_faults(injector);
        injector.await_operators();
        for (auto const& reason : injector.failures())
            fail(reason);
        restart_entry();
        if (!load.wait_for(last_submissions, progress_timeout))
            fail("submissions did not settle in time after the fault");
        if (row_.rule_under_test == rule::configuration_in_force)
            std::this_thread::sleep_for(configuration_wait);
        if (!load.finish(finish_timeout))
            fail("a caller did not settle its last submission in time");
    }

    std::vector<std::string> step_logs()
    {
        switch (info_of(row_.at).observed_by)
        {
        case observer::caller:
            return {system_.folder().file("test.jsonl")};
        case observer::entry:
            return system_.entry_logs();
        case observer::endpoint:
            return system_.endpoint_histories();
        case observer::platform:
            break;
        }
        return {system_.platform_history()};
    }

    void reach_step()
    {
        log_watch watch(step_logs());
        if (needs_drain(row_.at))
            system_.entries().front().process.signal(SIGTERM);
        if (row_.at == step::apply)
            applying_ = std::async(std::launch::async,
                                   [this]
                                   {
                                       return system_.apply();
                                   });
        if (!watch.wait_for(std::string(info_of(row_.at).event), step_timeout))
            fail("no history showed the event of the step in time");
    }

    void inject_faults(fault_injector& injector)
    {
        milliseconds length{0};
        for (auto const kind : row_.faults)
        {
            injector.start_fault(kind);
            length = std::max(length, info_of(kind).length);
        }
        auto const isolated = isolated_entries(row_);
        for (auto const index : isolated)
            system_.record_entry_cut(index);
        std::this_thread::sleep_for(length);
        for (auto const kind : row_.faults)
            injector.end_fault(kind);
        for (auto const index : isolated)
            system_.record_entry_healed(index);
        if (applying_.valid())
            applying_.wait();
    }

    void restart_entry()
    {
        auto& entry = system_.entries().front();
        bool const killed = std::ranges::find(row_.faults, fault::kill_entry) !=
                            row_.faults.end();
        if (!killed && !needs_drain(row_.at))
            return;
        auto const stopped =
            killed ? outcome<void>{} : system_.await_stop(entry);
        if (!stopped)
            fail(stopped.error().detail);
        auto const started = system_.restart_entry(0);
        if (!started)
            fail("restart: " + started.error().detail);
        if (killed)
            system_.record_entry_healed(0);
    }

    void check()
    {
        auto read = history::read_history(system_.histories());
        if (!read)
        {
            fail(read.error().detail);
            return;
        }
        endpoint_naming const rename(system_.endpoint_names());
        for (auto& each : read->records)
            std::visit(rename, each.content);
        bool const checks_service =
            row_.faults == std::vector{fault::isolate_entry} &&
            !needs_drain(row_.at);
        if (checks_service)
            check_isolated_service(*read);
        auto const reports = history::check(*read, options_for(row_));
        add_findings(reports, result_);
        result_.examined = reports.at(index_of(row_.rule_under_test)).examined;
    }

    /// Checks that an entry without connection to its peers and the platform
    /// continues to serve its callers.
    void check_isolated_service(history::recorded_history const& read)
    {
        std::int64_t cut_us = 0;
        std::int64_t healed_us = 0;
        for (auto const& each : read.records)
        {
            if (std::holds_alternative<history::entry_cut>(each.content))
                cut_us = each.us;
            if (std::holds_alternative<history::entry_healed>(each.content))
                healed_us = each.us;
        }
        auto const answered = std::ranges::count_if(
            read.records,
            [&](history::record const& each)
            {
                auto const* const job =
                    std::get_if<history::job_answered>(&each.content);
                return job && job->code == result_code::ok &&
                       each.source == system_.entries().front().name &&
                       each.us > cut_us && each.us < healed_us;
            });
        if (answered < min_isolated_answers)
            fail("the isolated entry completed too few calls: " +
                 std::to_string(answered) + " answered with ok");
    }

    void keep_histories()
    {
        system_.folder().keep();
        result_.folder = system_.folder().path();
    }

    row const& row_;
    run_options const& options_;
    test_support::cluster system_;
    std::future<store::apply_answer> applying_;
    verdict result_;
};

} // namespace

verdict run_row(row const& tested, run_options const& options)
{
    try
    {
        return row_run(tested, options).run();
    }
    catch (std::exception const& error)
    {
        // Unwinding has ended the processes of the row.
        verdict result;
        result.reasons.push_back(error.what());
        return result;
    }
}

} // namespace masticshift::fault_matrix
