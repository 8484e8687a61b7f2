#include "sample_history.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace masticshift;
using namespace masticshift::history;

namespace
{

check_options one_case_each()
{
    check_options options;
    options.minimum_examined.fill(1);
    return options;
}

/// The rules that do not hold.
std::vector<rule> broken_rules(sample_history const& sample)
{
    std::vector<rule> broken;
    for (auto const& report : check(sample.recorded, one_case_each()))
    {
        if (!holds(report))
            broken.push_back(report.number);
    }
    return broken;
}

bool breaks_only(sample_history const& sample, rule number)
{
    return broken_rules(sample) == std::vector{number};
}

template <class Event>
Event& event_of(sample_history& sample, std::size_t nth = 0)
{
    for (auto& each : sample.recorded.records)
    {
        auto* const found = std::get_if<Event>(&each.content);
        if (found && nth-- == 0)
            return *found;
    }
    throw std::logic_error("the history has too few events of this type");
}

} // namespace

TEST_CASE("every rule holds for a valid history and none for an empty history")
{
    CHECK(broken_rules(valid_history()).empty());
    CHECK(broken_rules(sample_history{}).size() == rule_count);
}

TEST_CASE("rule 1: a task that starts twice is a violation")
{
    auto second_run = valid_history();
    second_run.at(1'300, endpoint_a,
                  run_started{task("a.job", 1, 1), "orderdesk"});
    CHECK(breaks_only(second_run, rule::task_starts_once));
    auto other_entry = valid_history();
    other_entry.at(1'300, entry_b,
                   task_started{task("a.job", 1, 1), endpoint_a});
    CHECK(breaks_only(other_entry, rule::task_starts_once));
    auto unknown = valid_history();
    unknown.at(1'300, endpoint_a, run_started{task("x.y", 0), "orderdesk"});
    CHECK(broken_rules(unknown).empty());
    unknown.at(1'301, endpoint_a, run_started{task("x.y", 0), "orderdesk"});
    CHECK(breaks_only(unknown, rule::task_starts_once));
}

TEST_CASE("rule 1: a restarted entry counts as another process")
{
    auto h = valid_history();
    h.at(9'001, entry_a, entry_started{7, entry_a});
    h.at(9'002, entry_a, task_started{task("a.job", 0, 1), endpoint_a});
    CHECK(breaks_only(h, rule::task_starts_once));
}

TEST_CASE("rule 2: incomplete answers and output of failed jobs are violations")
{
    auto partial = valid_history();
    event_of<call_answered>(partial, 0).answers.pop_back();
    event_of<call_answered>(partial, 1).answers.pop_back();
    CHECK(breaks_only(partial, rule::answer_complete));
    auto doubled = valid_history();
    for (std::size_t nth : {0, 1})
        event_of<call_answered>(doubled, nth).answers[1] = {0, "in0", "out0"};
    CHECK(breaks_only(doubled, rule::answer_complete));
    auto leaked = valid_history();
    event_of<call_answered>(leaked, 4).answers = {{0, "in0", "out0"}};
    CHECK(breaks_only(leaked, rule::answer_complete));
    auto denied = valid_history();
    event_of<call_answered>(denied, 0).ran = ran_state::unknown;
    CHECK(breaks_only(denied, rule::answer_complete));
}

TEST_CASE("rule 3: answers to another input and differing answers are "
          "violations")
{
    auto crossed = valid_history();
    event_of<call_answered>(crossed, 3).answers[0].echo = "other";
    CHECK(breaks_only(crossed, rule::answer_own));
    auto other_id = valid_history();
    event_of<call_answered>(other_id, 3).id = "b.other";
    CHECK(breaks_only(other_id, rule::answer_own));
    auto differing = valid_history();
    event_of<call_answered>(differing, 1).answers[0].output = "changed";
    CHECK(breaks_only(differing, rule::answer_own));
    auto not_sent = valid_history();
    not_sent.at(2'500, "caller", job_answer(99, "a.job"));
    CHECK(breaks_only(not_sent, rule::answer_own));
    auto reordered = valid_history();
    std::ranges::reverse(event_of<call_answered>(reordered, 1).answers);
    CHECK(broken_rules(reordered).empty());
}

TEST_CASE("rule 4: a run of an id that was reported as not run is a violation")
{
    auto late = valid_history();
    late.at(1'300, endpoint_a, run_started{task("a.refused", 1), "orderdesk"});
    CHECK(breaks_only(late, rule::not_run_true));
    auto by_entry = valid_history();
    by_entry.at(1'300, entry_b,
                job_answered{"b.cancelled", result_code::cancelled,
                             ran_state::not_run});
    CHECK(broken_rules(by_entry).empty());
    by_entry.at(500, endpoint_a, run_started{task("b.cancelled", 0), "s"});
    CHECK(breaks_only(by_entry, rule::not_run_true));
}

TEST_CASE("rule 5: a request that runs twice is a violation")
{
    auto h = valid_history();
    h.at(1'202, endpoint_a, run_started{task("b.request", 0, 1), "orderdesk"});
    CHECK(breaks_only(h, rule::request_runs_once));
    event_of<call_sent>(h, 3).idempotent = true;
    CHECK(broken_rules(h).empty());
    h.at(1'203, endpoint_a, run_started{task("b.request", 0, 1), "orderdesk"});
    CHECK(breaks_only(h, rule::request_runs_once));
}

TEST_CASE("rule 6: a late start at a leaving endpoint is a violation")
{
    auto h = valid_history();
    h.at(4'999, endpoint_b, run_started{task("a.c", 0), "orderdesk"});
    CHECK(broken_rules(h).empty());
    h.at(5'001, endpoint_b, run_started{task("a.d", 0), "orderdesk"});
    CHECK(breaks_only(h, rule::leaving_endpoint_spared));
}

TEST_CASE("rule 6: starts around an outage of the entry or at an endpoint that "
          "is live again are allowed, and records of entries alone are "
          "sufficient evidence")
{
    auto isolated = valid_history();
    isolated.at(1'900, "test", entry_cut{entry_a});
    isolated.at(6'000, entry_a, task_started{task("a.c", 0), endpoint_b});
    isolated.at(6'000, endpoint_b, run_started{task("a.c", 0), "orderdesk"});
    CHECK(broken_rules(isolated).empty());
    isolated.at(6'500, "test", entry_healed{entry_a});
    isolated.at(9'501, entry_a, task_started{task("a.d", 0), endpoint_b});
    isolated.at(9'501, endpoint_b, run_started{task("a.d", 0), "orderdesk"});
    CHECK(breaks_only(isolated, rule::leaving_endpoint_spared));
    auto live_again = valid_history();
    live_again.at(8'000, "platform", vm_state{endpoint_b, vm_condition::live});
    live_again.at(8'001, endpoint_b, run_started{task("a.c", 0), "orderdesk"});
    CHECK(broken_rules(live_again).empty());
    auto without_vm_state = valid_history();
    without_vm_state.at(3'500, entry_a, endpoint_leaving_seen{endpoint_a});
    without_vm_state.at(6'501, endpoint_a, run_started{task("a.c", 0), "s"});
    CHECK(breaks_only(without_vm_state, rule::leaving_endpoint_spared));
}

TEST_CASE("rule 7: calls that a graceful stop aborts are violations")
{
    auto aborted = valid_history();
    aborted.at(2'900, "caller", job_call(6, "b.cut", entry_b));
    aborted.at(3'025, "caller", call_broken{6, "b.cut"});
    CHECK(breaks_only(aborted, rule::graceful_stop));
    auto counted = valid_history();
    event_of<stopped>(counted).cut = 1;
    CHECK(breaks_only(counted, rule::graceful_stop));
    auto unfinished = valid_history();
    unfinished.at(8'500, entry_a, admission_closed{});
    CHECK(breaks_only(unfinished, rule::graceful_stop));
    unfinished.at(8'600, "test", entry_cut{entry_a});
    CHECK(broken_rules(unfinished).empty());
}

TEST_CASE("rule 7: calls to other entries and calls after admission closed are "
          "ignored")
{
    auto h = valid_history();
    h.at(2'900, "caller", job_call(6, "a.cut", entry_a));
    h.at(3'025, "caller", call_broken{6, "a.cut"});
    h.at(3'015, "caller", job_call(7, "b.late", entry_b));
    h.at(3'035, "caller", call_broken{7, "b.late"});
    CHECK(broken_rules(h).empty());
}

TEST_CASE("rule 8: revisions that decrease or are late are violations")
{
    auto h = valid_history();
    h.at(4'000, "platform", committed{2, "c2"});
    CHECK(breaks_only(h, rule::configuration_in_force));
    h.at(6'999, entry_a, configuration_in_force{2});
    CHECK(broken_rules(h).empty());
    h.at(7'500, entry_a, configuration_in_force{1});
    CHECK(breaks_only(h, rule::configuration_in_force));
}

TEST_CASE("rule 8: the bound of an isolated entry counts from the end of the "
          "outage")
{
    auto h = valid_history();
    h.at(3'900, "test", entry_cut{entry_a});
    h.at(4'000, "platform", committed{2, "c2"});
    CHECK(broken_rules(h).empty());
    h.at(5'000, "test", entry_healed{entry_a});
    CHECK(breaks_only(h, rule::configuration_in_force));
    h.at(7'900, entry_a, configuration_in_force{2});
    CHECK(broken_rules(h).empty());
}

TEST_CASE("rule 8: gaps, repeated revisions and wrong responses to operators "
          "are violations")
{
    auto gap = valid_history();
    gap.at(8'900, "platform", committed{3, "c3"});
    CHECK(breaks_only(gap, rule::configuration_in_force));
    auto repeated = valid_history();
    repeated.at(8'900, "platform", committed{1, "c3"});
    CHECK(breaks_only(repeated, rule::configuration_in_force));
    auto lost = valid_history();
    lost.at(8'900, "operator", applied{2, "c2", result_code::ok});
    CHECK(breaks_only(lost, rule::configuration_in_force));
    auto denied = valid_history();
    event_of<applied>(denied).code = result_code::revision_conflict;
    CHECK(breaks_only(denied, rule::configuration_in_force));
    auto invented = valid_history();
    invented.at(8'900, entry_a, configuration_in_force{2});
    CHECK(breaks_only(invented, rule::configuration_in_force));
}

TEST_CASE("a task that runs twice is a violation in any sequence of runs")
{
    bool const passed = rc::check(
        [](std::vector<std::uint8_t> const& tasks)
        {
            auto h = valid_history();
            std::array<unsigned, 256> runs{};
            for (auto const index : tasks)
                h.at(1'000, endpoint_a,
                     run_started{task("x.y", index, runs.at(index)++), "s"});
            bool const doubled = std::ranges::any_of(runs,
                                                     [](auto n)
                                                     {
                                                         return n > 1;
                                                     });
            RC_ASSERT(breaks_only(h, rule::task_starts_once) == doubled);
        });
    CHECK(passed);
}
