#include "sample_history.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace masticshift;
using namespace masticshift::history;

namespace
{

check_options one_fact_each()
{
    check_options options;
    options.minimum.fill(1);
    return options;
}

/// The rules that do not hold.
std::vector<rule> broken_rules(sample_history const& sample)
{
    std::vector<rule> broken;
    for (auto const& report : check(sample.all, one_fact_each()))
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
    for (auto& entry : sample.all.records)
    {
        auto* const found = std::get_if<Event>(&entry.content);
        if (found && nth-- == 0)
            return *found;
    }
    throw std::logic_error("no such event");
}

} // namespace

TEST_CASE("a good history holds and an empty one proves nothing")
{
    CHECK(broken_rules(good_history()).empty());
    CHECK(broken_rules(sample_history{}).size() == rule_count);
}

TEST_CASE("rule 1: a task that starts twice is found")
{
    auto again = good_history();
    again.at(1'300, endpoint_a, run_started{task("a.job", 1, 1), "orderdesk"});
    CHECK(breaks_only(again, rule::task_starts_once));
    auto twin = good_history();
    twin.at(1'300, entry_b, task_started{task("a.job", 1, 1), endpoint_a});
    CHECK(breaks_only(twin, rule::task_starts_once));
    auto unknown = good_history();
    unknown.at(1'300, endpoint_a, run_started{task("x.y", 0), "orderdesk"});
    CHECK(broken_rules(unknown).empty());
    unknown.at(1'301, endpoint_a, run_started{task("x.y", 0), "orderdesk"});
    CHECK(breaks_only(unknown, rule::task_starts_once));
}

TEST_CASE("rule 1: a restarted process is another process")
{
    auto h = good_history();
    h.at(9'001, entry_a, entry_started{7, entry_a});
    h.at(9'002, entry_a, task_started{task("a.job", 0, 1), endpoint_a});
    CHECK(breaks_only(h, rule::task_starts_once));
}

TEST_CASE("rule 2: partial answers and output of failed jobs are found")
{
    auto partial = good_history();
    event_of<call_answered>(partial, 0).answers.pop_back();
    event_of<call_answered>(partial, 1).answers.pop_back();
    CHECK(breaks_only(partial, rule::answer_complete));
    auto doubled = good_history();
    for (std::size_t nth : {0, 1})
        event_of<call_answered>(doubled, nth).answers[1] = {0, "in0", "out0"};
    CHECK(breaks_only(doubled, rule::answer_complete));
    auto leaked = good_history();
    event_of<call_answered>(leaked, 4).answers = {{0, "in0", "out0"}};
    CHECK(breaks_only(leaked, rule::answer_complete));
    auto denied = good_history();
    event_of<call_answered>(denied, 0).ran = ran_state::unknown;
    CHECK(breaks_only(denied, rule::answer_complete));
}

TEST_CASE("rule 3: crossed and differing answers are found")
{
    auto crossed = good_history();
    event_of<call_answered>(crossed, 3).answers[0].echo = "other";
    CHECK(breaks_only(crossed, rule::answer_own));
    auto other_id = good_history();
    event_of<call_answered>(other_id, 3).id = "b.other";
    CHECK(breaks_only(other_id, rule::answer_own));
    auto differing = good_history();
    event_of<call_answered>(differing, 1).answers[0].output = "changed";
    CHECK(breaks_only(differing, rule::answer_own));
    auto unasked = good_history();
    unasked.at(2'500, "caller", job_answer(99, "a.job"));
    CHECK(breaks_only(unasked, rule::answer_own));
    auto reordered = good_history();
    std::ranges::reverse(event_of<call_answered>(reordered, 1).answers);
    CHECK(broken_rules(reordered).empty());
}

TEST_CASE("rule 4: a run of an id that was refused as not run is found")
{
    auto late = good_history();
    late.at(1'300, endpoint_a, run_started{task("a.refused", 1), "orderdesk"});
    CHECK(breaks_only(late, rule::not_run_true));
    auto by_entry = good_history();
    by_entry.at(1'300, entry_b,
                job_answered{"b.cancelled", result_code::cancelled,
                             ran_state::not_run});
    CHECK(broken_rules(by_entry).empty());
    by_entry.at(500, endpoint_a, run_started{task("b.cancelled", 0), "s"});
    CHECK(breaks_only(by_entry, rule::not_run_true));
}

TEST_CASE("rule 5: a request that runs twice is found")
{
    auto h = good_history();
    h.at(1'202, endpoint_a, run_started{task("b.request", 0, 1), "orderdesk"});
    CHECK(breaks_only(h, rule::request_runs_once));
    event_of<call_sent>(h, 3).idempotent = true;
    CHECK(broken_rules(h).empty());
    h.at(1'203, endpoint_a, run_started{task("b.request", 0, 1), "orderdesk"});
    CHECK(breaks_only(h, rule::request_runs_once));
}

TEST_CASE("rule 6: work at a leaving endpoint is found after the bound")
{
    auto h = good_history();
    h.at(4'999, endpoint_b, run_started{task("a.c", 0), "orderdesk"});
    CHECK(broken_rules(h).empty());
    h.at(5'001, endpoint_b, run_started{task("a.d", 0), "orderdesk"});
    CHECK(breaks_only(h, rule::leaving_endpoint_spared));
}

TEST_CASE("rule 6: entries that were cut off and endpoints that return")
{
    auto cut = good_history();
    cut.at(1'900, "test", entry_cut{entry_a});
    cut.at(6'000, entry_a, task_started{task("a.c", 0), endpoint_b});
    cut.at(6'000, endpoint_b, run_started{task("a.c", 0), "orderdesk"});
    CHECK(broken_rules(cut).empty());
    cut.at(6'500, "test", entry_healed{entry_a});
    cut.at(9'501, entry_a, task_started{task("a.d", 0), endpoint_b});
    cut.at(9'501, endpoint_b, run_started{task("a.d", 0), "orderdesk"});
    CHECK(breaks_only(cut, rule::leaving_endpoint_spared));
    auto back = good_history();
    back.at(8'000, "platform", vm_state{endpoint_b, vm_condition::live});
    back.at(8'001, endpoint_b, run_started{task("a.c", 0), "orderdesk"});
    CHECK(broken_rules(back).empty());
    auto entries_alone = good_history();
    entries_alone.at(3'500, entry_a, endpoint_leaving_seen{endpoint_a});
    entries_alone.at(6'501, endpoint_a, run_started{task("a.c", 0), "s"});
    CHECK(breaks_only(entries_alone, rule::leaving_endpoint_spared));
}

TEST_CASE("rule 7: calls that a graceful stop cuts are found")
{
    auto cut = good_history();
    cut.at(2'900, "caller", job_call(6, "b.cut", entry_b));
    cut.at(3'025, "caller", call_broken{6, "b.cut"});
    CHECK(breaks_only(cut, rule::graceful_stop));
    auto counted = good_history();
    event_of<stopped>(counted).cut = 1;
    CHECK(breaks_only(counted, rule::graceful_stop));
    auto endless = good_history();
    endless.at(8'500, entry_a, admission_closed{});
    CHECK(breaks_only(endless, rule::graceful_stop));
    endless.at(8'600, "test", entry_cut{entry_a});
    CHECK(broken_rules(endless).empty());
}

TEST_CASE("rule 7: calls elsewhere and after the closing do not count")
{
    auto h = good_history();
    h.at(2'900, "caller", job_call(6, "a.cut", entry_a));
    h.at(3'025, "caller", call_broken{6, "a.cut"});
    h.at(3'015, "caller", job_call(7, "b.late", entry_b));
    h.at(3'035, "caller", call_broken{7, "b.late"});
    CHECK(broken_rules(h).empty());
}

TEST_CASE("rule 8: revisions that go down or come late are found")
{
    auto h = good_history();
    h.at(4'000, "platform", committed{2, "c2"});
    CHECK(breaks_only(h, rule::configuration_in_force));
    h.at(6'999, entry_a, configuration_in_force{2});
    CHECK(broken_rules(h).empty());
    h.at(7'500, entry_a, configuration_in_force{1});
    CHECK(breaks_only(h, rule::configuration_in_force));
}

TEST_CASE("rule 8: an entry that was cut off has its time after healing")
{
    auto h = good_history();
    h.at(3'900, "test", entry_cut{entry_a});
    h.at(4'000, "platform", committed{2, "c2"});
    CHECK(broken_rules(h).empty());
    h.at(5'000, "test", entry_healed{entry_a});
    CHECK(breaks_only(h, rule::configuration_in_force));
    h.at(7'900, entry_a, configuration_in_force{2});
    CHECK(broken_rules(h).empty());
}

TEST_CASE("rule 8: gaps, reverts and lies to operators are found")
{
    auto gap = good_history();
    gap.at(8'900, "platform", committed{3, "c3"});
    CHECK(breaks_only(gap, rule::configuration_in_force));
    auto repeated = good_history();
    repeated.at(8'900, "platform", committed{1, "c3"});
    CHECK(breaks_only(repeated, rule::configuration_in_force));
    auto lost = good_history();
    lost.at(8'900, "operator", applied{2, "c2", result_code::ok});
    CHECK(breaks_only(lost, rule::configuration_in_force));
    auto denied = good_history();
    event_of<applied>(denied).code = result_code::revision_conflict;
    CHECK(breaks_only(denied, rule::configuration_in_force));
    auto invented = good_history();
    invented.at(8'900, entry_a, configuration_in_force{2});
    CHECK(breaks_only(invented, rule::configuration_in_force));
}

TEST_CASE("any doubled run is found wherever it stands")
{
    rc::check(
        [](std::vector<std::uint8_t> const& tasks)
        {
            auto h = good_history();
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
}
