#ifndef MASTICSHIFT_DISPATCH_TESTS_INTERLEAVING_MODEL_HPP
#define MASTICSHIFT_DISPATCH_TESTS_INTERLEAVING_MODEL_HPP

#include <dispatch/submission_guard.hpp>
#include <dispatch/token.hpp>
#include <test_support/endpoint_model.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticshift::dispatch::testing
{

/// Probabilities of faults, in percent, and how they happen.
struct fault_rates
{
    int lost_answers = 0;
    /// Of orders of all kinds.
    int late_orders = 0;
    int failed_runs = 0;
    /// Percentage of one step in a hundred: an endpoint crashes, and starts
    /// again under the same id with a new clock.
    int crashes = 0;
    /// Percentage of one step in ten: the link between one dispatcher and one
    /// endpoint fails while the endpoint works on.
    int link_faults = 0;
    /// Percentage of one step in a hundred: an entry dies, and its callers
    /// resend their jobs.
    int entry_deaths = 0;
    /// Percentage of dispatcher failures that are suspensions of the VM.
    int suspensions = 0;
    /// Whether the clock of a suspended dispatcher counts the time.
    bool counts_suspension = true;
    /// Whether heartbeats that came during the suspension are read at its end,
    /// so that entries count as alive for some time.
    bool reads_old_heartbeats = false;
    /// Whether held-up orders also reach a process that has not yet accepted a
    /// list with a token raised after its start.
    bool delivers_unfenced = false;
    /// Submissions that are held up on an older connection than their
    /// withdrawal.
    int held_submissions = 0;
    /// Longest lease that dispatchers ask for.
    milliseconds longest_lease{1'000};
};

/// Simulates two cells with successive dispatchers, endpoints whose clocks
/// differ, entries, and callers that resend their jobs to either cell.
class interleaving_model
{
public:
    struct counts
    {
        std::size_t starts = 0;
        std::size_t restarts = 0;
        std::size_t link_faults = 0;
        std::size_t entry_deaths = 0;
        std::size_t suspensions = 0;
        std::size_t late_starts = 0;
        std::size_t late_lists = 0;
        /// Held-up orders that a process rejected for its token.
        std::size_t late_outranked = 0;
        /// Held-up orders that reached a process which had not yet accepted a
        /// list with a token raised after its start.
        std::size_t unfenced_starts = 0;
        std::size_t unfenced_lists = 0;
        /// Submissions that arrived after their entry had given them up, and
        /// how many of these were refused as withdrawn or outdated.
        std::size_t given_up = 0;
        std::size_t withdrawn = 0;
        std::size_t outdated = 0;
    };

    interleaving_model(unsigned seed, fault_rates rates)
        : random_(seed), rates_(rates)
    {
        for (std::size_t i = 0; i < endpoint_count; ++i)
        {
            endpoint added{
                endpoint_model(make_endpoint("e" + std::to_string(i)))};
            added.rate = 0.98 + 0.005 * static_cast<double>(i % 5);
            endpoints_.push_back(std::move(added));
        }
        for (std::size_t number = 0; number < cells_.size(); ++number)
            start_dispatcher(number);
    }

    /// Ends early if a task has run twice at once.
    void run(milliseconds length)
    {
        for (auto const end = now_ + length; now_ < end && !ran_twice();
             now_ += step)
        {
            maybe_submit();
            maybe_fail_dispatcher();
            maybe_crash_endpoint();
            maybe_fail_link();
            maybe_kill_entry();
            deliver_late_orders();
            deliver_records();
            deliver_submissions();
            for (auto& cell : cells_)
                drive_cell(cell);
            check();
        }
    }

    bool ran_twice() const
    {
        return !twice_.empty();
    }

    /// The task that has run twice at once, with its history.
    std::string history() const
    {
        std::string lines;
        for (auto const& [task, line] : events_)
        {
            if (task.empty() || task == twice_)
                lines += line + "\n";
        }
        return twice_ + "\n" + lines;
    }

    counts totals() const
    {
        auto all = counts_;
        for (auto const& endpoint : endpoints_)
            all.starts += endpoint.model.starts().size();
        return all;
    }

private:
    static constexpr milliseconds step{5};
    /// Time after a lost answer at which a caller resends its job.
    static constexpr milliseconds resend_delay{1'300};
    /// Time without a heartbeat after which a peer counts as dead, and how
    /// much later that may be found.
    static constexpr milliseconds dead_after{450};
    static constexpr milliseconds longest_check{100};
    /// An entry gives up a job without a response within this time, and its
    /// withdrawal arrives within the next one.
    static constexpr milliseconds longest_wait{450};
    static constexpr milliseconds longest_withdrawal{400};
    static constexpr milliseconds longest_hold{2'500};
    /// Time until dispatchers have read what an endpoint has written.
    static constexpr milliseconds longest_record_delay{450};
    /// Age of the newest clock reading that an entry has.
    static constexpr milliseconds longest_reading_age{150};
    /// Held-up orders are carried out within this time.
    static constexpr int longest_delay_ms = 12'000;
    static constexpr int shortest_list_delay_ms = 2'000;
    static constexpr milliseconds token_advance_interval{100};
    static constexpr std::size_t endpoints_per_cell = 4;
    static constexpr std::size_t endpoint_count = 8;
    static constexpr int entry_count = 3;

    enum class link_fault
    {
        none,
        /// Nothing arrives, and the sender knows it.
        refuses,
        not_sent,
        /// Nothing arrives.
        loses_orders,
        /// Orders arrive, responses do not.
        loses_responses
    };

    struct link
    {
        link_fault fault = link_fault::none;
        time_point begins{};
        time_point ends{};
    };

    struct endpoint
    {
        endpoint_model model;
        double rate = 1;
        /// Its clock started then.
        time_point started{};
        /// It refuses connections until then.
        time_point down_until{};
        /// When dispatchers read the record of its last process.
        std::optional<time_point> record_read_at;
        /// Token of its cell's dispatcher when its process started.
        std::int64_t token_at_start = 0;
        int drivers_at_start = 0;
        /// Dispatcher that has received a list of this process.
        int listed_by = 0;
        /// It has accepted a list of a dispatcher that had to use a higher
        /// token: it began later, or had received a list of this process.
        bool fenced = true;
    };

    struct driver
    {
        std::unique_ptr<dispatcher> tested;
        int number = 0;
        /// By which its clock is behind.
        duration lag{0};
        time_point resumes{};
        time_point ends = time_point::max();
        time_point token_advanced{};
        std::int64_t token_step = 1;
        std::array<link, endpoint_count> links;
        submission_guard submissions;
        /// When it takes these entries for dead.
        std::map<std::string, time_point> cancels;
    };

    struct cell
    {
        std::size_t number = 0;
        std::unique_ptr<driver> present;
        std::unique_ptr<driver> former;
        time_point successor_at{};
        /// Highest token that a successor is sure to know.
        std::int64_t known_token = 0;
        std::int64_t highest_token = 0;
    };

    struct open_job
    {
        int driver = 0;
        std::string origin;
        std::int64_t submission = 0;
    };

    /// A submission on its way, and what follows if its entry gives it up.
    struct held_submission
    {
        int driver = 0;
        std::string origin;
        job_spec spec;
        clock_reading last_reading;
        time_point arrives;
        time_point given_up;
        time_point withdrawn;
        bool has_arrived = false;
        bool is_given_up = false;
        bool is_withdrawn = false;
    };

    struct late_order
    {
        time_point at;
        std::size_t endpoint = 0;
        std::optional<start_order> start;
        std::optional<stop_order> stop;
        std::optional<list_order> list;
    };

    bool chance(int percent)
    {
        return std::uniform_int_distribution(0, 99)(random_) < percent;
    }

    int pick(int low, int high)
    {
        return std::uniform_int_distribution(low, high)(random_);
    }

    milliseconds pick_time(milliseconds low, milliseconds high)
    {
        return milliseconds(pick(static_cast<int>(low.count()),
                                 static_cast<int>(high.count())));
    }

    void record(std::string const& task, std::string const& what)
    {
        events_.emplace_back(task, std::to_string(static_cast<std::int64_t>(
                                       to_milliseconds(now_ - time_point{}))) +
                                       " " + what);
    }

    static std::string name_of_driver(driver const& from)
    {
        return "dispatcher " + std::to_string(from.number);
    }

    std::int64_t clock(endpoint const& of) const
    {
        return static_cast<std::int64_t>(to_milliseconds(now_ - of.started) *
                                         of.rate);
    }

    static std::size_t index_of(std::string const& id)
    {
        return static_cast<std::size_t>(id[1] - '0');
    }

    bool is_down(endpoint const& of) const
    {
        return now_ < of.down_until;
    }

    link_fault fault_of(driver const& from, std::size_t to) const
    {
        auto const& used = from.links[to];
        return now_ >= used.begins && now_ < used.ends ? used.fault
                                                       : link_fault::none;
    }

    time_point time_of(driver const& of) const
    {
        return now_ - of.lag;
    }

    std::int64_t next_token(std::int64_t known, std::int64_t token_step,
                            int number) const
    {
        auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(
                                 now_ - time_point{})
                                 .count();
        auto const claim = std::max<std::int64_t>(
            (known >> token_claim_shift) + token_step, seconds);
        return (claim << token_claim_shift) | number;
    }

    void start_dispatcher(std::size_t number)
    {
        auto& cell = cells_[number];
        cell.number = number;
        cell.present = std::make_unique<driver>();
        auto& started = *cell.present;
        started.number = ++drivers_;
        auto const known = chance(50) ? cell.highest_token : cell.known_token;
        auto const token = next_token(known, 1, started.number);
        cell.known_token = token;
        started.tested = std::make_unique<dispatcher>(
            dispatch_limits{rates_.longest_lease, 1}, token);
        if (cell.former && chance(50))
        {
            for (std::size_t i = 0; i < endpoint_count; ++i)
            {
                if (chance(50))
                    fail_link(started, i, now_, 4'000);
            }
        }
        for (auto i = number * endpoints_per_cell;
             i < (number + 1) * endpoints_per_cell; ++i)
            started.tested->update_endpoint(endpoints_[i].model.record());
        record({}, name_of_driver(started) + " starts");
    }

    void maybe_submit()
    {
        if (open_jobs_.size() < 12 && chance(40))
            submit("job" + std::to_string(next_job_++));
        for (auto each = resend_at_.begin(); each != resend_at_.end();)
        {
            auto const next = std::next(each);
            if (now_ >= each->second && submit(each->first))
                resend_at_.erase(each);
            each = next;
        }
    }

    /// Returns whether the cell has a dispatcher.
    bool submit(std::string const& id)
    {
        auto& cell = cells_[static_cast<std::size_t>(pick(0, 1))];
        if (!cell.present)
            return false;
        auto const origin = entry_name(pick(0, entry_count - 1));
        auto spec = make_spec(id, 3);
        spec.steps[0].estimate = run_length(id);
        spec.slack_factor = 20;
        spec.submission = ++submissions_;
        open_jobs_[id] = {cell.present->number, origin, spec.submission};
        if (chance(rates_.held_submissions))
        {
            hold(*cell.present, origin, std::move(spec));
            return true;
        }
        record({}, id + " submitted to " + name_of_driver(*cell.present));
        cell.present->tested->submit(std::move(spec), origin,
                                     time_of(*cell.present));
        return true;
    }

    void hold(driver const& to, std::string const& origin, job_spec spec)
    {
        held_submission held;
        held.driver = to.number;
        held.origin = origin;
        held.last_reading = {
            to.number, reading_at(time_of(to)) -
                           pick_time(milliseconds(0), longest_reading_age)};
        held.arrives = now_ + pick_time(milliseconds(0), longest_hold);
        held.given_up = now_ + pick_time(milliseconds(0), longest_wait);
        held.withdrawn =
            held.given_up + pick_time(milliseconds(0), longest_withdrawal);
        record({}, spec.id + " held up on its way to " + name_of_driver(to));
        held.spec = std::move(spec);
        held_submissions_.push_back(std::move(held));
    }

    driver* find_driver(int number)
    {
        for (auto& cell : cells_)
        {
            if (cell.present && cell.present->number == number)
                return cell.present.get();
            if (cell.former && cell.former->number == number &&
                now_ >= cell.former->resumes)
                return cell.former.get();
        }
        return nullptr;
    }

    void deliver_submissions()
    {
        for (auto& each : held_submissions_)
        {
            if (!each.is_given_up && now_ >= each.given_up)
                give_up(each);
            if (!each.is_withdrawn && now_ >= each.withdrawn)
                deliver_withdrawal(each);
            if (!each.has_arrived && now_ >= each.arrives)
                deliver_submission(each);
        }
        std::erase_if(held_submissions_,
                      [](held_submission const& each)
                      {
                          return each.has_arrived && each.is_withdrawn;
                      });
    }

    void give_up(held_submission& held)
    {
        held.is_given_up = true;
        auto const known = open_jobs_.find(held.spec.id);
        if (known == open_jobs_.end() ||
            known->second.submission != held.spec.submission)
            return;
        record({}, held.spec.id + " given up");
        open_jobs_.erase(known);
        resend_at_[held.spec.id] = now_ + resend_delay;
    }

    void deliver_withdrawal(held_submission& held)
    {
        held.is_withdrawn = true;
        auto* const to = find_driver(held.driver);
        if (to == nullptr)
            return;
        to->submissions.record_withdrawal(held.origin, held.spec.id,
                                          held.spec.submission, time_of(*to));
        auto const known = open_jobs_.find(held.spec.id);
        bool const submitted_again = known != open_jobs_.end() &&
                                     known->second.driver == to->number &&
                                     known->second.origin == held.origin;
        if (!submitted_again)
            to->tested->withdraw(held.spec.id, held.origin, time_of(*to));
    }

    void deliver_submission(held_submission& held)
    {
        held.has_arrived = true;
        auto* const to = find_driver(held.driver);
        if (to == nullptr)
            return;
        auto const& id = held.spec.id;
        auto const now = time_of(*to);
        counts_.given_up += held.is_given_up ? 1 : 0;
        entry_identity const self{{}, held.driver, {}, 0};
        if (submission_guard::is_outdated(held.last_reading, self, true, now))
        {
            ++counts_.outdated;
            refuse(held);
        }
        else if (to->submissions.is_withdrawn(held.origin, id,
                                              held.spec.submission, now))
        {
            ++counts_.withdrawn;
            refuse(held);
        }
        else
        {
            record({}, id + " arrives at " + name_of_driver(*to));
            to->tested->submit(held.spec, held.origin, now);
        }
    }

    /// An entry that still waits submits the job again soon.
    void refuse(held_submission const& held)
    {
        auto const known = open_jobs_.find(held.spec.id);
        if (known == open_jobs_.end() ||
            known->second.submission != held.spec.submission)
            return;
        open_jobs_.erase(known);
        resend_at_[held.spec.id] = now_;
    }

    std::string entry_name(int number) const
    {
        return "n" + std::to_string(number) + "-" +
               std::to_string(
                   incarnations_.at(static_cast<std::size_t>(number)));
    }

    /// Three jobs in ten run for longer than a lease.
    static milliseconds run_length(std::string const& id)
    {
        return milliseconds(id.back() % 4 == 0 ? 1'500 : 100);
    }

    /// Occasionally a dispatcher dies, or is paused and resumes as the former
    /// dispatcher.
    void maybe_fail_dispatcher()
    {
        for (auto& cell : cells_)
        {
            if (!cell.present)
            {
                if (now_ >= cell.successor_at)
                    start_dispatcher(cell.number);
                continue;
            }
            if (!chance(1) || !chance(30))
                continue;
            cell.successor_at = now_ + dead_after;
            if (chance(50))
                kill_dispatcher(cell);
            else if (chance(rates_.suspensions))
                suspend_dispatcher(cell);
            else
                pause_dispatcher(cell);
        }
    }

    void resend_jobs_of(driver const& lost, duration noticed)
    {
        std::erase_if(open_jobs_,
                      [&](auto const& each)
                      {
                          if (each.second.driver != lost.number)
                              return false;
                          resend_at_[each.first] =
                              now_ + noticed + resend_delay;
                          return true;
                      });
    }

    /// The connections of the entries break at once.
    void kill_dispatcher(cell& of)
    {
        record({}, name_of_driver(*of.present) + " dies");
        resend_jobs_of(*of.present, {});
        of.present.reset();
    }

    // It resumes while its successor dispatches: its origins count as dead,
    // and endpoints reject its token.
    void pause_dispatcher(cell& of)
    {
        record({}, name_of_driver(*of.present) + " paused");
        resend_jobs_of(*of.present, dead_after / 2);
        of.former = std::move(of.present);
        of.former->resumes = now_ + milliseconds(pick(0, 1'500));
        of.former->ends = now_ + milliseconds(pick(0, 3'000));
        cancel_all_origins(*of.former, now_ + dead_after);
    }

    void suspend_dispatcher(cell& of)
    {
        ++counts_.suspensions;
        record({}, name_of_driver(*of.present) + " suspended");
        resend_jobs_of(*of.present, pick_time(milliseconds(350), dead_after));
        of.former = std::move(of.present);
        auto const length = milliseconds(pick(450, 4'000));
        auto& former = *of.former;
        former.resumes = now_ + length;
        former.ends = former.resumes + milliseconds(pick(0, 1'500));
        if (!rates_.counts_suspension)
            former.lag += length;
        bool const trusts_origins =
            !rates_.counts_suspension || rates_.reads_old_heartbeats;
        cancel_all_origins(
            former, former.resumes +
                        (trusts_origins ? pick_time(milliseconds(0), dead_after)
                                        : milliseconds(0)));
        // Some cells stay without a dispatcher: no other entry can claim them.
        if (chance(30))
            of.successor_at = former.ends;
    }

    void cancel_all_origins(driver& of, time_point at)
    {
        for (int number = 0; number < entry_count; ++number)
            cancel_origin(of, entry_name(number), at);
    }

    static void cancel_origin(driver& of, std::string const& origin,
                              time_point at)
    {
        auto& planned = of.cancels.emplace(origin, at).first->second;
        planned = std::min(planned, at);
    }

    void maybe_crash_endpoint()
    {
        if (!chance(1) || !chance(rates_.crashes))
            return;
        ++counts_.restarts;
        auto const number = static_cast<std::size_t>(
            pick(0, static_cast<int>(endpoint_count) - 1));
        auto& crashed = endpoints_[number];
        auto const& cell = cells_[number / endpoints_per_cell];
        crashed.model.restart(crashed.model.record().started_ms + 1);
        crashed.down_until = now_ + milliseconds(pick(0, 1'500));
        crashed.started = crashed.down_until;
        crashed.record_read_at =
            crashed.down_until +
            pick_time(milliseconds(0), longest_record_delay);
        crashed.token_at_start =
            cell.present ? cell.present->tested->token() : cell.highest_token;
        crashed.drivers_at_start = drivers_;
        crashed.listed_by = 0;
        crashed.fenced = false;
        record({}, crashed.model.record().id + " crashes");
    }

    void deliver_records()
    {
        for (std::size_t i = 0; i < endpoint_count; ++i)
        {
            auto& each = endpoints_[i];
            if (!each.record_read_at || now_ < *each.record_read_at)
                continue;
            each.record_read_at.reset();
            auto& cell = cells_[i / endpoints_per_cell];
            for (auto* const reader : {cell.present.get(), cell.former.get()})
            {
                if (reader != nullptr)
                    reader->tested->update_endpoint(each.model.record());
            }
        }
    }

    void maybe_fail_link()
    {
        if (!chance(10) || !chance(rates_.link_faults))
            return;
        auto const to = static_cast<std::size_t>(
            pick(0, static_cast<int>(endpoint_count) - 1));
        auto& cell = cells_[to / endpoints_per_cell];
        auto* const from =
            cell.former && chance(30) ? cell.former.get() : cell.present.get();
        if (from != nullptr)
            fail_link(*from, to, now_, 2'500);
    }

    void fail_link(driver& from, std::size_t to, time_point begins,
                   int longest_ms)
    {
        ++counts_.link_faults;
        auto const kind = static_cast<link_fault>(pick(1, 4));
        from.links[to] = {kind, begins,
                          begins + milliseconds(pick(20, longest_ms))};
        record({}, name_of_driver(from) + " link to e" + std::to_string(to) +
                       " fails, kind " +
                       std::to_string(static_cast<int>(kind)));
    }

    /// The connections of its callers break at once; dispatchers find out
    /// later, and may be cut off from endpoints until then.
    void maybe_kill_entry()
    {
        if (!chance(1) || !chance(rates_.entry_deaths))
            return;
        ++counts_.entry_deaths;
        auto const number = pick(0, entry_count - 1);
        auto const died = entry_name(number);
        record({}, "entry " + died + " dies");
        ++incarnations_.at(static_cast<std::size_t>(number));
        std::erase_if(open_jobs_,
                      [&](auto const& each)
                      {
                          if (each.second.origin != died)
                              return false;
                          resend_at_[each.first] = now_ + resend_delay;
                          return true;
                      });
        for (auto& cell : cells_)
        {
            for (auto* const each : {cell.present.get(), cell.former.get()})
            {
                if (each == nullptr)
                    continue;
                cancel_origin(
                    *each, died,
                    now_ + pick_time(dead_after, dead_after + longest_check));
                cut_off_some(*each);
            }
        }
    }

    void cut_off_some(driver& from)
    {
        if (!chance(50))
            return;
        for (std::size_t i = 0; i < endpoint_count; ++i)
        {
            if (chance(50))
                fail_link(from, i,
                          now_ + pick_time(milliseconds(0), dead_after), 3'000);
        }
    }

    void drive_cell(cell& of)
    {
        if (of.former && now_ >= of.former->resumes)
        {
            drive(*of.former);
            take_finished(*of.former);
            if (now_ >= of.former->ends)
                of.former.reset();
        }
        if (!of.present)
            return;
        raise_if_outranked(*of.present);
        drive(*of.present);
        take_finished(*of.present);
        of.highest_token =
            std::max(of.highest_token, of.present->tested->token());
    }

    void raise_if_outranked(driver& from)
    {
        if (from.tested->outranked() == 0 ||
            now_ - from.token_advanced < token_advance_interval)
            return;
        from.token_advanced = now_;
        from.token_step *= 2;
        from.tested->advance_token(
            next_token(from.tested->token(), from.token_step, from.number));
    }

    void take_finished(driver& from)
    {
        for (auto const& job : from.tested->take_finished())
        {
            auto const known = open_jobs_.find(job.id);
            if (known == open_jobs_.end() ||
                known->second.driver != from.number ||
                known->second.origin != job.origin ||
                job.result.reason == end_reason::superseded)
                continue;
            open_jobs_.erase(known);
            if (job.result.end == job_end::unknown)
                resend_at_[job.id] = now_ + resend_delay;
        }
    }

    void drive(driver& from)
    {
        std::erase_if(
            from.cancels,
            [&](auto const& each)
            {
                if (now_ < each.second)
                    return false;
                record({}, name_of_driver(from) + " cancels " + each.first);
                from.tested->cancel_jobs_of_origin(each.first, time_of(from));
                return true;
            });
        from.tested->tick(time_of(from));
        for (auto const& order : from.tested->take_starts())
            send_start(from, order);
        for (auto const& order : from.tested->take_stops())
            send_stop(from, order);
        for (std::size_t to = 0; to < endpoint_count; ++to)
            read(from, to);
    }

    /// What the sender learns if the order does not arrive.
    std::optional<order_response> undelivered(driver const& from,
                                              std::size_t to) const
    {
        auto const fault = fault_of(from, to);
        if (fault == link_fault::refuses || is_down(endpoints_[to]))
            return order_response::connection_refused;
        if (fault == link_fault::not_sent)
            return order_response::not_sent;
        if (fault == link_fault::loses_orders)
            return order_response::unanswered;
        return std::nullopt;
    }

    bool loses_response(driver const& from, std::size_t to)
    {
        return fault_of(from, to) == link_fault::loses_responses ||
               chance(rates_.lost_answers);
    }

    void send_start(driver& from, start_order const& order)
    {
        auto const number = index_of(order.endpoint);
        auto& to = endpoints_[number];
        auto& tested = *from.tested;
        auto const what = name_of_driver(from) + " orders run " +
                          std::to_string(order.run.number) + " at " +
                          order.endpoint + ": ";
        if (auto const failed = undelivered(from, number))
        {
            record(order.run.task, what + name_of(*failed));
            tested.start_answered(order, *failed, std::nullopt, time_of(from));
            return;
        }
        if (chance(rates_.late_orders))
        {
            record(order.run.task, what + "held up");
            late_orders_.push_back(
                {now_ + milliseconds(pick(0, longest_delay_ms)), number, order,
                 std::nullopt, std::nullopt});
            tested.start_answered(order, order_response::unanswered,
                                  std::nullopt, time_of(from));
            return;
        }
        auto const length =
            run_length(order.run.task.substr(0, order.run.task.find('.')));
        auto const response = to.model.start(order, clock(to), length,
                                             chance(rates_.failed_runs));
        bool const lost = loses_response(from, number);
        record(order.run.task,
               what + name_of(response) + (lost ? ", response lost" : ""));
        if (lost)
            tested.start_answered(order, order_response::unanswered,
                                  std::nullopt, time_of(from));
        else
            tested.start_answered(order, response, clock(to), time_of(from));
    }

    void send_stop(driver& from, stop_order const& order)
    {
        auto const number = index_of(order.endpoint);
        auto& to = endpoints_[number];
        auto& tested = *from.tested;
        auto const what = name_of_driver(from) + " stops run " +
                          std::to_string(order.run.number) + " at " +
                          order.endpoint + ": ";
        if (auto const failed = undelivered(from, number))
        {
            record(order.run.task, what + name_of(*failed));
            tested.stop_answered(order, *failed, time_of(from));
            return;
        }
        if (chance(rates_.late_orders))
        {
            late_orders_.push_back(
                {now_ + milliseconds(pick(0, longest_delay_ms)), number,
                 std::nullopt, order, std::nullopt});
            if (chance(50))
                tested.stop_answered(order, order_response::unanswered,
                                     time_of(from));
            return;
        }
        auto const response = to.model.stop(order, clock(to));
        record(order.run.task, what + name_of(response));
        if (!loses_response(from, number))
            tested.stop_answered(order, response, time_of(from));
    }

    void read(driver& from, std::size_t number)
    {
        auto& to = endpoints_[number];
        auto& tested = *from.tested;
        auto const id = to.model.record().id;
        auto const order = tested.next_list(id, time_of(from));
        if (!order)
            return;
        if (auto const failed = undelivered(from, number))
        {
            tested.list_failed(id, *failed, time_of(from));
            return;
        }
        if (chance(rates_.late_orders))
        {
            late_orders_.push_back(
                {now_ + milliseconds(
                            pick(shortest_list_delay_ms, longest_delay_ms)),
                 number, std::nullopt, std::nullopt, order});
            tested.list_failed(id, order_response::unanswered, time_of(from));
            return;
        }
        run_list list;
        auto const response = to.model.list(*order, clock(to), list);
        if (response == order_response::accepted)
            note_accepted_list(from, to);
        if (loses_response(from, number))
            tested.list_failed(id, order_response::unanswered, time_of(from));
        else if (response != order_response::accepted)
            tested.list_failed(id, response, time_of(from));
        else
        {
            to.listed_by = from.number;
            tested.list_answered(id, *order, list, clock(to), time_of(from),
                                 time_of(from));
        }
    }

    void note_accepted_list(driver const& from, endpoint& to) const
    {
        auto const& cell =
            cells_[index_of(to.model.record().id) / endpoints_per_cell];
        if (cell.present.get() == &from &&
            (from.number > to.drivers_at_start || from.number == to.listed_by))
            to.fenced = true;
    }

    void deliver_late_orders()
    {
        std::erase_if(late_orders_,
                      [&](late_order const& each)
                      {
                          if (now_ < each.at)
                              return false;
                          auto& to = endpoints_[each.endpoint];
                          if (!is_down(to))
                              deliver(each, to);
                          return true;
                      });
    }

    void deliver(late_order const& late, endpoint& to)
    {
        if (late.stop)
            to.model.stop(*late.stop, clock(to));
        if (late.start)
            deliver_start(*late.start, to);
        if (late.list)
            deliver_list(*late.list, to);
    }

    // Not covered: a held-up order reaches the next process of an endpoint
    // before any list with a token that was raised after its start.
    static bool passes_unfenced(endpoint const& to, std::int64_t token)
    {
        return !to.fenced && token <= to.token_at_start;
    }

    void deliver_start(start_order const& order, endpoint& to)
    {
        if (passes_unfenced(to, order.token))
        {
            ++counts_.unfenced_starts;
            if (!rates_.delivers_unfenced)
                return;
        }
        ++counts_.late_starts;
        auto const response =
            to.model.start(order, clock(to), milliseconds(300), false);
        if (response == order_response::outranked)
            ++counts_.late_outranked;
        record(order.run.task, "held-up run " +
                                   std::to_string(order.run.number) + " at " +
                                   order.endpoint + ": " + name_of(response));
    }

    void deliver_list(list_order const& order, endpoint& to)
    {
        if (passes_unfenced(to, order.token))
        {
            ++counts_.unfenced_lists;
            if (!rates_.delivers_unfenced)
                return;
        }
        ++counts_.late_lists;
        run_list list;
        if (to.model.list(order, clock(to), list) == order_response::outranked)
            ++counts_.late_outranked;
    }

    void check()
    {
        std::set<std::string> seen;
        for (auto& endpoint : endpoints_)
        {
            for (auto const& task :
                 endpoint.model.running_tasks(clock(endpoint)))
            {
                if (!seen.insert(task).second && twice_.empty())
                {
                    twice_ = task;
                    record(task, "runs twice");
                }
            }
        }
    }

    std::mt19937 random_;
    fault_rates rates_;
    time_point now_ = time_point{} + std::chrono::seconds(1'000);
    std::vector<endpoint> endpoints_;
    std::array<cell, 2> cells_;
    int drivers_ = 0;
    std::array<int, entry_count> incarnations_{};
    std::map<std::string, open_job> open_jobs_;
    std::map<std::string, time_point> resend_at_;
    std::vector<late_order> late_orders_;
    std::vector<held_submission> held_submissions_;
    std::int64_t submissions_ = 0;
    int next_job_ = 0;
    counts counts_;
    std::string twice_;
    /// By task; without one for what concerns all.
    std::vector<std::pair<std::string, std::string>> events_;
};

} // namespace masticshift::dispatch::testing

#endif
