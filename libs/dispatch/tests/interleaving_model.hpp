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
    /// Orders are sent over connections to the process that they assume, and
    /// end with it. Otherwise the next process of the endpoint may get them.
    bool binds_orders = false;
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
    void run(milliseconds length);

    bool ran_twice() const
    {
        return !twice_.empty();
    }

    /// The task that has run twice at once, with its history.
    std::string history() const;

    counts totals() const;

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
        /// Start time of the process that alone may get it; 0 for any.
        std::int64_t process = 0;
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

    void record(std::string const& task, std::string const& what);

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
                            int number) const;
    void start_dispatcher(std::size_t number);
    void maybe_submit();

    /// Returns whether the cell has a dispatcher.
    bool submit(std::string const& id);
    void hold(driver const& to, std::string const& origin, job_spec spec);
    driver* find_driver(int number);
    void deliver_submissions();
    void give_up(held_submission& held);
    void deliver_withdrawal(held_submission& held);
    void deliver_submission(held_submission& held);

    /// An entry that still waits submits the job again soon.
    void refuse(held_submission const& held);
    std::string entry_name(int number) const;

    /// Three jobs in ten run for longer than a lease.
    static milliseconds run_length(std::string const& id)
    {
        return milliseconds(id.back() % 4 == 0 ? 1'500 : 100);
    }

    /// Occasionally a dispatcher dies, or is paused and resumes as the former
    /// dispatcher.
    void maybe_fail_dispatcher();
    void resend_jobs_of(driver const& lost, duration noticed);

    /// The connections of the entries break at once.
    void kill_dispatcher(cell& of);

    // It resumes while its successor dispatches: its origins count as dead,
    // and endpoints reject its token.
    void pause_dispatcher(cell& of);
    void suspend_dispatcher(cell& of);
    void cancel_all_origins(driver& of, time_point at);
    static void cancel_origin(driver& of, std::string const& origin,
                              time_point at)
    {
        auto& planned = of.cancels.emplace(origin, at).first->second;
        planned = std::min(planned, at);
    }

    void maybe_crash_endpoint();
    void deliver_records();
    void maybe_fail_link();
    void fail_link(driver& from, std::size_t to, time_point begins,
                   int longest_ms);

    /// The connections of its callers break at once; dispatchers find out
    /// later, and may be cut off from endpoints until then.
    void maybe_kill_entry();
    void cut_off_some(driver& from);
    void drive_cell(cell& of);
    void raise_if_outranked(driver& from);
    void take_finished(driver& from);
    void drive(driver& from);

    /// What the sender learns if the order does not arrive.
    std::optional<order_response> undelivered(driver const& from,
                                              std::size_t to) const;
    bool loses_response(driver const& from, std::size_t to);
    /// The process that alone may get an order that is sent now; 0 for any.
    std::int64_t bound_process(endpoint const& to) const
    {
        return rates_.binds_orders ? to.model.record().started_ms : 0;
    }
    /// Whether the order assumes another process than the one that its
    /// connection leads to.
    bool assumes_other(std::int64_t process, endpoint const& to) const
    {
        return rates_.binds_orders && process != 0 &&
               process != to.model.record().started_ms;
    }
    void send_start(driver& from, start_order order);
    void send_stop(driver& from, stop_order const& order);
    void read(driver& from, std::size_t number);
    void note_accepted_list(driver const& from, endpoint& to) const;

    void deliver_late_orders();
    void deliver(late_order const& late, endpoint& to);

    // Not covered: a held-up order reaches the next process of an endpoint
    // before any list with a token that was raised after its start.
    static bool passes_unfenced(endpoint const& to, std::int64_t token)
    {
        return !to.fenced && token <= to.token_at_start;
    }

    void deliver_start(start_order const& order, endpoint& to);
    void deliver_list(list_order const& order, endpoint& to);
    void check();

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
