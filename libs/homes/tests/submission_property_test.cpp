#include "submission_history.hpp"

#include <homes/inherited_tables.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <vector>

using namespace masticshift;
using namespace masticshift::homes;
using namespace masticshift::homes::testing;

namespace
{

enum class step_kind
{
    create_id,
    create_future_id,
    copy,
    refuse,
    fetch,
    finish,
    advance,
    step_back,
    close,
    export_home,
    deliver_part,
    forward_tables
};

struct step
{
    step_kind kind = step_kind::copy;
    unsigned target = 0;
    unsigned variant = 0;
};

std::ostream& operator<<(std::ostream& out, step const& shown)
{
    return out << static_cast<int>(shown.kind) << ':' << shown.target << ':'
               << shown.variant;
}

constexpr std::size_t max_ids = 12;
constexpr std::size_t max_answer_bytes = 60;
constexpr std::size_t successors = 3;
constexpr milliseconds generation_length{40};
constexpr milliseconds retention{200};
constexpr milliseconds time_step{10};

/// Model of a home that may stop, the successors that inherit its table, and
/// the network between them, which delivers copies and parts in any order and
/// any number of times.
class cluster_model
{
public:
    cluster_model()
        : home_({home_process, "", generation_length, retention, max_ids,
                 max_answer_bytes},
                start_time)
    {
        for (std::uint64_t i = 0; i < successors; ++i)
            inherited_.emplace_back(process_name{"10.0.0.8:9100", i},
                                    inherited_tables_options{2 * retention, 1,
                                                             max_ids,
                                                             max_answer_bytes});
    }

    void run(step const& next)
    {
        apply(next);
        check_bounds();
    }

private:
    void apply(step const& next)
    {
        switch (next.kind)
        {
        case step_kind::create_id:
            return create_id(0);
        case step_kind::create_future_id:
            return create_id(1);
        case step_kind::advance:
            return advance(time_step * next.target);
        case step_kind::step_back:
            now_ -= time_step * next.target;
            return;
        case step_kind::close:
            return home_.close_admission();
        case step_kind::export_home:
            return export_home(next);
        case step_kind::deliver_part:
            return deliver_part(next);
        case step_kind::forward_tables:
            return forward_tables(next);
        default:
            if (!histories_.empty())
                use_id(next, histories_[next.target % histories_.size()]);
        }
    }

    void use_id(step const& next, submission_history& history)
    {
        auto const body = next.variant % 8 == 0 ? 1U : 0U;
        auto const location = next.variant % (successors + 1);
        switch (next.kind)
        {
        case step_kind::copy:
            return copy(history, body, exported_ ? location : successors);
        case step_kind::fetch:
            return fetch(history, exported_ ? location : successors);
        case step_kind::refuse:
            return refuse(history, body);
        default:
            return finish(history, next.variant);
        }
    }

    void create_id(std::uint32_t ahead)
    {
        auto token = home_.current_token();
        token.generation += ahead;
        histories_.emplace_back(
            submission_id{token, std::to_string(histories_.size())});
    }

    void copy(submission_history& history, unsigned body, std::size_t location)
    {
        auto const digest = digest_for(body);
        auto const decision =
            location == successors
                ? home_.admit(history.id(), digest, now_)
                : inherited_[location].find(history.id(), digest);
        history.check(body, decision);
    }

    void fetch(submission_history& history, std::size_t location)
    {
        auto const decision = location == successors
                                  ? home_.find(history.id())
                                  : inherited_[location].find(history.id());
        history.check_fetch(decision);
    }

    void refuse(submission_history& history, unsigned body)
    {
        auto const given = overload_answer();
        history.check_refuse(
            body, given,
            home_.refuse(history.id(), digest_for(body), given, now_));
    }

    void finish(submission_history& history, unsigned variant)
    {
        constexpr std::array ran{ran_state::ran, ran_state::unknown,
                                 ran_state::not_run};
        auto const answer =
            make_answer(result_code::cancelled, ran[variant % ran.size()],
                        std::string(variant, 'x'));
        bool const was_running = history.running();
        RC_ASSERT(home_.finish(history.id(), answer, now_) == was_running);
        if (was_running)
            history.finished(answer);
    }

    void advance(milliseconds length)
    {
        now_ += length;
        home_.rotate(now_);
        for (auto& tables : inherited_)
            tables.expire(now_);
    }

    void export_home(step const& next)
    {
        auto const table = home_.export_records(now_);
        exported_ = true;
        for (auto& history : histories_)
        {
            if (history.running())
                history.finished(make_answer(result_code::outcome_unknown,
                                             ran_state::unknown));
        }
        send(table, next);
    }

    void forward_tables(step const& next)
    {
        auto const& from = inherited_[next.target % successors];
        for (auto const& table : from.export_tables())
            send(table, next);
    }

    void send(handover_table const& table, step const& next)
    {
        auto const sent =
            split_into_parts(table, {1 + next.variant % 4, 1'000});
        parts_.insert(parts_.end(), sent.begin(), sent.end());
    }

    void deliver_part(step const& next)
    {
        if (parts_.empty())
            return;
        auto const& part = parts_[next.target % parts_.size()];
        (void)inherited_[next.variant % successors].accept(part, now_);
    }

    void check_bounds() const
    {
        auto const home = home_.statistics();
        RC_ASSERT(home.ids <= max_ids);
        RC_ASSERT(home.answer_bytes <= max_answer_bytes);
        auto const running = std::ranges::count_if(histories_,
                                                   [](auto const& one)
                                                   {
                                                       return one.running();
                                                   });
        RC_ASSERT(home.running == static_cast<std::size_t>(running));
        for (auto const& tables : inherited_)
        {
            RC_ASSERT(tables.statistics().ids <= max_ids);
            RC_ASSERT(tables.statistics().answer_bytes <= max_answer_bytes);
        }
    }

    time_point now_ = start_time;
    submission_table home_;
    std::vector<inherited_tables> inherited_;
    std::vector<submission_history> histories_;
    std::vector<handover_part> parts_;
    bool exported_ = false;
};

rc::Gen<std::vector<step>> steps_of(std::vector<step_kind> kinds)
{
    constexpr double steps_per_size = 4.0;
    auto const one = rc::gen::resize(
        rc::kNominalSize,
        rc::gen::construct<step>(rc::gen::elementOf(std::move(kinds)),
                                 rc::gen::inRange(0U, 24U),
                                 rc::gen::inRange(0U, 24U)));
    return rc::gen::scale(steps_per_size,
                          rc::gen::container<std::vector<step>>(one));
}

void check_random_scenarios(std::vector<step_kind> const& before_stop,
                            std::vector<step_kind> const& after_stop)
{
    constexpr int scenarios_per_case = 10;
    for (int i = 0; i < scenarios_per_case; ++i)
    {
        cluster_model model;
        for (auto const& next : *steps_of(before_stop))
            model.run(next);
        for (auto const& next : *steps_of(after_stop))
            model.run(next);
    }
}

using enum step_kind;

std::vector<step_kind> const open_steps{
    create_id, create_id, create_id, create_future_id,
    copy,      copy,      copy,      copy,
    copy,      copy,      copy,      refuse,
    finish,    finish,    finish,    fetch,
    fetch,     advance,   advance,   step_back};

std::vector<step_kind> const stop_steps{
    copy,         copy,        copy,           copy,         copy,
    fetch,        refuse,      finish,         close,        advance,
    export_home,  create_id,   forward_tables, deliver_part, deliver_part,
    deliver_part, deliver_part};

} // namespace

TEST_CASE("no promise about an id is broken while its home runs")
{
    CHECK(rc::check(
        []
        {
            check_random_scenarios(open_steps, {copy, fetch});
        }));
}

TEST_CASE("no promise about an id is broken by a stop and a handover")
{
    CHECK(rc::check(
        []
        {
            check_random_scenarios(open_steps, stop_steps);
        }));
}
