#ifndef MASTICSHIFT_HISTORY_TESTS_SAMPLE_HISTORY_HPP
#define MASTICSHIFT_HISTORY_TESTS_SAMPLE_HISTORY_HPP

#include <history/checker.hpp>

namespace masticshift::history
{

/// Builds a history from events at times in milliseconds.
class sample_history
{
public:
    sample_history& at(std::int64_t ms, std::string source, event content)
    {
        auto const line =
            static_cast<std::uint32_t>(recorded.records.size() + 1);
        recorded.records.push_back(
            {ms * 1'000, std::move(source), std::move(content), 0, line});
        return *this;
    }

    recorded_history recorded{{"sample"}, {}};
};

inline constexpr auto entry_a = "127.0.0.1:7001";
inline constexpr auto entry_b = "127.0.0.1:7002";
inline constexpr auto endpoint_a = "127.0.0.1:9101";
inline constexpr auto endpoint_b = "127.0.0.1:9102";

inline attempt_name task(std::string id, unsigned index, unsigned attempt = 0)
{
    return {std::move(id), index, attempt};
}

inline call_sent job_call(std::uint64_t call, std::string id,
                          std::string entry = entry_a)
{
    return {call,           std::move(id), std::move(entry), "orderdesk",
            call_kind::job, false,         {"in0", "in1"}};
}

inline call_answered job_answer(std::uint64_t call, std::string id)
{
    return {call,
            std::move(id),
            result_code::ok,
            ran_state::ran,
            {{0, "in0", "out0"}, {1, "in1", "out1"}}};
}

/// A history for which every rule holds, with at least one case for each rule.
inline sample_history valid_history()
{
    sample_history h;
    h.at(0, entry_a, entry_started{1, entry_a});
    h.at(0, entry_b, entry_started{2, entry_b});
    h.at(10, "platform", committed{1, "c1"});
    h.at(11, "operator", applied{1, "c1", result_code::ok});
    h.at(500, entry_a, configuration_in_force{1});
    h.at(600, entry_b, configuration_in_force{1});
    h.at(1'000, "caller", job_call(1, "a.job"));
    h.at(1'001, entry_a, job_admitted{"a.job", 1});
    h.at(1'002, entry_a, task_started{task("a.job", 0), endpoint_a});
    h.at(1'003, entry_a, task_started{task("a.job", 1), endpoint_b});
    h.at(1'004, endpoint_a, run_started{task("a.job", 0), "orderdesk"});
    h.at(1'005, endpoint_b, run_started{task("a.job", 1), "orderdesk"});
    h.at(1'010, "caller", job_call(2, "a.job", entry_b));
    h.at(1'050, "caller", job_answer(1, "a.job"));
    h.at(1'051, "caller", job_answer(2, "a.job"));
    h.at(1'100, "caller", job_call(3, "a.refused"));
    h.at(1'101, entry_a,
         job_refused{"a.refused", result_code::overloaded, ran_state::not_run});
    h.at(1'102, "caller",
         call_answered{
             3, "a.refused", result_code::overloaded, ran_state::not_run, {}});
    h.at(1'200, "caller",
         call_sent{4,
                   "b.request",
                   entry_b,
                   "orderdesk",
                   call_kind::request,
                   false,
                   {"in"}});
    h.at(1'201, endpoint_b, run_started{task("b.request", 0), "orderdesk"});
    h.at(1'250, "caller",
         call_answered{4,
                       "b.request",
                       result_code::ok,
                       ran_state::ran,
                       {{0, "in", "out"}}});
    h.at(2'000, "platform", vm_state{endpoint_b, vm_condition::leaving});
    h.at(2'100, entry_b, endpoint_leaving_seen{endpoint_b});
    h.at(3'000, "caller", job_call(5, "b.failed", entry_b));
    h.at(3'010, entry_b, admission_closed{});
    h.at(3'020, "caller",
         call_answered{
             5, "b.failed", result_code::cancelled, ran_state::ran, {}});
    h.at(3'030, entry_b, stopped{0});
    h.at(9'000, entry_a, job_admitted{"a.last", 1});
    return h;
}

} // namespace masticshift::history

#endif
