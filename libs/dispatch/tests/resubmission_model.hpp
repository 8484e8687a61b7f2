#ifndef MASTICSHIFT_DISPATCH_TESTS_RESUBMISSION_MODEL_HPP
#define MASTICSHIFT_DISPATCH_TESTS_RESUBMISSION_MODEL_HPP

#include <dispatch/peer_roster.hpp>
#include <dispatch/resubmission_bounds.hpp>
#include <dispatch/submission_guard.hpp>
#include <test_support/endpoint_model.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace masticshift::dispatch::testing
{

/// Probabilities of faults, in percent.
struct resubmission_faults
{
    /// A link delays or holds all its messages.
    int slow_links = 0;
    int lost_stops = 0;
    /// A process stands still, or its event loop is late.
    int pauses = 0;
    int entry_deaths = 0;
    /// Heartbeats count from their arrival and carry no withdrawals: an entry
    /// sends a withdrawal twice, and then no heartbeats.
    bool former_heartbeats = false;
};

/// Simulates entries, two dispatchers, their endpoints, and callers that leave
/// and submit their jobs again, elsewhere, after `resubmission_delay`.
///
/// Entries and dispatchers are the rosters and dispatchers of the product. What
/// libs/gateway does between them is done by the model in the same order.
class resubmission_model
{
public:
    struct counts
    {
        std::size_t submissions = 0;
        std::size_t resubmissions = 0;
        std::size_t cancelled_origins = 0;
        std::size_t starts = 0;
    };

    resubmission_model(unsigned seed, resubmission_faults faults)
        : random_(seed), faults_(faults)
    {
        for (int i = 0; i < entry_count; ++i)
            entries_.push_back(make_entry(i));
        for (int i = 0; i < dispatcher_count; ++i)
            dispatchers_.push_back(make_dispatcher(i));
    }

    /// Ends early if a task has run twice at once.
    void run(milliseconds length);

    bool ran_twice() const
    {
        return !twice_.empty();
    }

    std::string history() const;

    counts totals() const;

private:
    static constexpr milliseconds step{5};
    static constexpr milliseconds heartbeat_interval{100};
    static constexpr milliseconds heartbeat_timeout{350};
    static constexpr milliseconds withdrawal_timeout{150};
    static constexpr milliseconds long_run{4'000};
    static constexpr milliseconds longest_visit{800};
    static constexpr milliseconds longest_slowness{3'000};
    static constexpr milliseconds longest_pause{2'000};
    static constexpr milliseconds paused_step{300};
    static constexpr int entry_count = 3;
    static constexpr int dispatcher_count = 2;
    static constexpr int endpoints_each = 6;
    static constexpr std::size_t most_jobs = 12;

    struct submission
    {
        std::string job;
        std::int64_t number = 0;
        clock_reading last_reading;
    };

    struct heartbeat_call
    {
        entry_heartbeat beat;
    };

    struct heartbeat_reply
    {
        entry_heartbeat beat;
        std::vector<job_withdrawal> received;
    };

    struct refusal
    {
        std::string job;
        std::int64_t number = 0;
        clock_reading reading;
    };

    struct withdrawal_reply
    {
        job_withdrawal withdrawal;
    };

    using content = std::variant<submission, heartbeat_call, heartbeat_reply,
                                 refusal, job_withdrawal, withdrawal_reply>;

    struct message
    {
        time_point arrives;
        std::string from;
        std::int64_t from_incarnation = 0;
        std::string to;
        content what;
    };

    struct link
    {
        /// Longest delay, which grows steadily until `slowest`.
        milliseconds delay{1};
        time_point begins{};
        time_point slowest{};
        /// Messages wait until then.
        time_point held_until{};
        time_point ends{};
        /// Messages arrive in order.
        time_point last_arrival{};
    };

    struct caller
    {
        std::string job;
        std::int64_t number = 0;
        std::string dispatcher;
        time_point leaves;
        bool gone = false;
    };

    struct entry
    {
        std::unique_ptr<peer_roster> roster;
        std::string address;
        std::vector<caller> callers;
        std::vector<message> inbox;
        time_point beat_due;
        /// Its event loop does nothing until then.
        time_point busy_until{};
        /// Used with `former_heartbeats`: when each withdrawal was begun.
        std::vector<std::pair<job_withdrawal, time_point>> silent_since;
    };

    struct endpoint
    {
        endpoint_model model;
        double rate = 1;
    };

    struct waiting_job
    {
        entry_identity origin;
        std::int64_t submission = 0;
        time_point sent_after;
    };

    struct dispatching
    {
        std::unique_ptr<peer_roster> roster;
        std::unique_ptr<dispatcher> tested;
        submission_guard guard;
        std::string address;
        std::vector<endpoint> endpoints;
        std::map<std::pair<std::string, std::string>, waiting_job> waiting;
        std::vector<message> inbox;
        time_point origins_checked{};
        time_point stepped{};
        time_point busy_until{};
    };

    bool chance(int percent)
    {
        return pick(0, 99) < percent;
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

    /// `about`: a job, or nothing for what concerns all.
    void record(std::string const& about, std::string const& what);

    static std::string origin_name(entry_identity const& origin)
    {
        return origin.address + "/" + std::to_string(origin.incarnation);
    }

    entry make_entry(int number);
    dispatching make_dispatcher(int number);

    std::int64_t clock(endpoint const& of) const
    {
        return static_cast<std::int64_t>(to_milliseconds(now_ - time_point{}) *
                                         of.rate);
    }

    void send(std::string const& from, std::int64_t incarnation,
              std::string const& to, content what);
    duration delay_of(link const& used) const;

    void begin_faults();
    void slow_down_link();
    void pause_process();

    /// Its callers' connections end.
    void kill_entry();
    void resubmit_later(caller const& from);
    void drive_callers();

    /// Through any entry, to another dispatcher than the last one.
    void submit(std::string const& job, std::string const& last);
    void send_submission(entry& from, caller const& of);
    void deliver_messages();
    void drive(entry& each);
    void send_heartbeat(entry& from, std::string const& to);
    bool is_silent(entry const& from, std::string const& to) const;

    void withdraw_left(entry& from);
    void withdraw(entry& from, caller const& left);
    void receive(entry& by, message const& received);

    /// The refusal carries a new reading of the dispatcher's clock.
    void submit_again(entry& by, std::string const& from,
                      refusal const& refused);
    void drive(dispatching& each);
    void receive_all(dispatching& by);
    void receive(dispatching& by, message const& received);
    void accept(dispatching& by, entry_identity const& origin,
                submission const& sent);
    void withdraw(dispatching& by, entry_identity const& origin,
                  job_withdrawal const& withdrawal);
    void cancel_lost(dispatching& by);
    void read_endpoints(dispatching& by);
    void send_orders(dispatching& by);
    static endpoint& endpoint_of(dispatching& by, std::string const& id);
    void check();

    std::mt19937 random_;
    resubmission_faults faults_;
    time_point now_ = time_point{} + std::chrono::seconds(1'000);
    std::int64_t incarnations_ = 0;
    std::int64_t submissions_ = 0;
    int next_job_ = 0;
    std::vector<entry> entries_;
    std::vector<dispatching> dispatchers_;
    std::map<std::pair<std::string, std::string>, link> links_;
    std::vector<message> messages_;
    std::set<std::string> open_jobs_;
    /// By job: when, and the dispatcher of its last submission.
    std::map<std::string, std::pair<time_point, std::string>> resubmit_at_;
    counts counts_;
    std::string twice_;
    std::vector<std::pair<std::string, std::string>> events_;
};

} // namespace masticshift::dispatch::testing

#endif
