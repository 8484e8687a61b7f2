#include "soak_run.hpp"

#include "gateway_child.hpp"
#include "soak_callers.hpp"
#include "soak_fault.hpp"

#include <test_support/gateway_standin.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <deque>
#include <sstream>
#include <thread>

namespace masticshift::gateway_soak
{

namespace
{

using test_support::link_state;

constexpr milliseconds step{20};
constexpr milliseconds run_time{60};
constexpr milliseconds start_time{2'000};

/// Drains end within it, and callers have their last answers.
constexpr milliseconds settle_time{9'000};

/// As `recover_s` of the deployments, shortened to the size of a soak.
constexpr milliseconds recover_time{6'000};
constexpr std::size_t recovery_jobs = 40;

/// Clocks of endpoints may be 2 % slow.
constexpr std::array clock_rates{1.0, 0.98, 1.01};

/// A drain may take the grace time of the deployments.
constexpr milliseconds grace{6'000};

/// A fault that is to be undone.
struct open_fault
{
    planned_fault fault;
    time_point until;
};

class soak
{
public:
    explicit soak(soak_options const& options)
        : options_(options),
          random_(options.seed),
          platform_(std::make_unique<test_support::gateway_standin>(
              network_.executor(), options.seed)),
          callers_(network_)
    {
        start_platform();
        for (std::size_t i = 0; i < options.gateways; ++i)
        {
            gateways_.push_back(std::make_unique<gateway_child>(
                network_, folder_, options.program,
                "gateway" + std::to_string(i), data_centre(i), store_));
            gateways_.back()->start();
        }
    }

    ~soak()
    {
        gateways_.clear();
        network_.run(
            [this]
            {
                platform_.reset();
            });
    }

    soak_result run()
    {
        std::this_thread::sleep_for(start_time);
        for (auto const& fault : plan_faults(random_, options_.length))
            planned_.push_back(fault);
        auto const begun = steady_clock::now();
        while (steady_clock::now() < begun + options_.length)
        {
            auto const now = steady_clock::now();
            while (!planned_.empty() && begun + planned_.front().at <= now)
            {
                begin(planned_.front(), now);
                planned_.pop_front();
            }
            end_due(now);
            submit_some();
            std::this_thread::sleep_for(step);
        }
        end_due(time_point::max());
        restart_stopped();
        std::this_thread::sleep_for(recover_time);
        check_recovery();
        return report();
    }

private:
    static std::string data_centre(std::size_t number)
    {
        return number % 2 == 0 ? "north" : "south";
    }

    void start_platform()
    {
        network_.run(
            [this]
            {
                platform_->start_store().value();
                store_ = {"127.0.0.1", platform_->store_port()};
                platform_->configure(version_, run_time);
                for (std::size_t i = 0; i < options_.endpoints; ++i)
                    platform_
                        ->add_endpoint(endpoint_name(i), data_centre(i),
                                       i % 4 == 0 ? 0.5 : 1.0,
                                       clock_rates[i % clock_rates.size()])
                        .value();
            });
    }

    static std::string endpoint_name(std::size_t number)
    {
        return "endpoint" + std::to_string(number);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(random_);
    }

    void submit_some()
    {
        for (std::size_t i = pick(3); i > 0; --i)
            submit();
    }

    void submit()
    {
        auto const to = pick(gateways_.size());
        auto const again = pick(gateways_.size());
        callers_.submit(++jobs_, 1 + static_cast<int>(pick(4)),
                        gateways_[to]->caller_address(),
                        gateways_[again]->caller_address());
    }

    template <class Change>
    void change_platform(Change const& change)
    {
        network_.run(
            [&]
            {
                change(*platform_);
            });
    }

    void begin(planned_fault const& fault, time_point now)
    {
        log_ << fault.at.count() << " ms " << name_of(fault.kind) << " "
             << fault.target << " for " << fault.length.count() << " ms\n";
        apply(fault, true);
        open_.push_back({fault, now + fault.length});
    }

    void end_due(time_point now)
    {
        for (std::size_t i = open_.size(); i > 0; --i)
        {
            if (open_[i - 1].until > now)
                continue;
            auto const fault = open_[i - 1].fault;
            open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(i) - 1);
            apply(fault, false);
        }
    }

    void apply(planned_fault const& fault, bool begins)
    {
        auto& target = *gateways_[fault.target % gateways_.size()];
        if (!apply_to_gateway(fault.kind, target, begins))
            apply_to_platform(fault, begins);
    }

    bool apply_to_gateway(fault_kind kind, gateway_child& target, bool begins)
    {
        auto const set = [&](test_support::relay& link, link_state state)
        {
            link.set(begins ? state : link_state::passing);
        };
        switch (kind)
        {
        case fault_kind::kill_gateway:
            begins ? target.kill() : restart(target);
            return true;
        case fault_kind::pause_gateway:
            target.signal(begins ? SIGSTOP : SIGCONT);
            return true;
        case fault_kind::stop_gateway:
            begins ? target.signal(SIGTERM) : restart(target);
            return true;
        case fault_kind::hang_up_gateway:
            if (begins)
                target.signal(SIGHUP);
            return true;
        case fault_kind::cut_peer_link:
            set(target.peer_link(), link_state::cut);
            return true;
        case fault_kind::silence_peer_link:
            set(target.peer_link(), link_state::silent);
            return true;
        case fault_kind::delay_peer_link:
            target.peer_link().set_delay(milliseconds(30));
            set(target.peer_link(), link_state::delayed);
            return true;
        case fault_kind::cut_store_link:
            set(target.store_link(), link_state::cut);
            return true;
        default:
            return false;
        }
    }

    void apply_to_platform(planned_fault const& fault, bool begins)
    {
        auto const endpoint = endpoint_name(fault.target % options_.endpoints);
        change_platform(
            [&](test_support::gateway_standin& platform)
            {
                apply_to(platform, fault.kind, endpoint, begins);
            });
    }

    void apply_to(test_support::gateway_standin& platform, fault_kind kind,
                  std::string const& endpoint, bool begins)
    {
        constexpr int some_percent = 15;
        auto& faults = platform.faults();
        switch (kind)
        {
        case fault_kind::store_down:
            faults.store_down = begins;
            break;
        case fault_kind::store_silent:
            faults.store_silent = begins;
            break;
        case fault_kind::store_slow:
            faults.store_delay = milliseconds(begins ? 240 : 0);
            break;
        case fault_kind::history_gone:
            faults.history_gone = begins;
            break;
        case fault_kind::lost_orders:
            faults.lost_orders = begins ? some_percent : 0;
            break;
        case fault_kind::late_orders:
            faults.lost_orders = begins ? some_percent : 0;
            faults.late_orders = begins ? 100 : 0;
            break;
        case fault_kind::failed_runs:
            faults.failed_runs = begins ? some_percent : 0;
            break;
        case fault_kind::silent_endpoint:
            if (begins)
                faults.silent_endpoints.insert(endpoint);
            else
                faults.silent_endpoints.erase(endpoint);
            break;
        case fault_kind::restarted_endpoint:
            if (begins)
                platform.restart_endpoint(endpoint);
            break;
        case fault_kind::draining_endpoint:
            // It leaves, and comes back under its id.
            if (begins && !options_.drains_restart)
                platform.drain_endpoint(endpoint);
            else if (begins == options_.drains_restart)
                platform.restart_endpoint(endpoint);
            break;
        case fault_kind::new_configuration:
            if (begins)
                platform.configure(++version_, run_time);
            break;
        default:
            break;
        }
    }

    void restart(gateway_child& target)
    {
        // Another fault may have started it already, or be stopping it.
        if (!target.is_running())
            target.start();
    }

    void restart_stopped()
    {
        for (auto const& gateway : gateways_)
        {
            gateway->signal(SIGCONT);
            if (gateway->is_running() && !gateway->wait(milliseconds(0)))
                continue;
            gateway->start();
        }
        // A drain that has just begun ends within the grace time.
        auto const end = steady_clock::now() + grace;
        while (steady_clock::now() < end)
        {
            for (auto const& gateway : gateways_)
                restart(*gateway);
            std::this_thread::sleep_for(step);
        }
    }

    void check_recovery()
    {
        auto const before = callers_.report().completed;
        for (std::size_t i = 0; i < recovery_jobs; ++i)
        {
            submit();
            std::this_thread::sleep_for(2 * step);
        }
        auto const end = steady_clock::now() + settle_time;
        while (callers_.open() > 0 && steady_clock::now() < end)
            std::this_thread::sleep_for(step);
        auto const after = callers_.report().completed;
        if (after - before < recovery_jobs * 9 / 10)
            findings_.push_back("only " + std::to_string(after - before) +
                                " of " + std::to_string(recovery_jobs) +
                                " jobs completed after the last fault");
        if (callers_.open() > 0)
            findings_.push_back(std::to_string(callers_.open()) +
                                " callers without an answer");
    }

    soak_result report()
    {
        auto const callers = callers_.report();
        test_support::platform_findings seen;
        change_platform(
            [&](test_support::gateway_standin& platform)
            {
                seen = platform.findings();
            });
        for (auto const& doubled : seen.doubled)
            findings_.push_back("ran twice at once: " + doubled);
        for (auto const& odd : callers.odd)
            findings_.push_back("odd answer: " + odd);
        for (auto const& id : callers.refused)
        {
            if (seen.started_jobs.contains(id))
                findings_.push_back("refused, but started: " + id);
        }
        std::ostringstream summary;
        summary << callers.sent << " jobs, " << callers.completed
                << " completed, " << callers.failed << " failed, "
                << callers.refused.size() << " refused, " << callers.unknown
                << " unknown and " << callers.broken << " broken answers, "
                << seen.starts << " starts";
        soak_result result{findings_, summary.str(), {}};
        if (!findings_.empty() || options_.keep)
        {
            folder_.write("faults.txt", log_.str());
            folder_.keep();
            result.folder = folder_.path();
        }
        return result;
    }

    soak_options options_;
    std::mt19937 random_;
    test_support::scratch_folder folder_;
    test_support::network_thread network_;
    std::unique_ptr<test_support::gateway_standin> platform_;
    config::socket_address store_;
    soak_callers callers_;
    std::vector<std::unique_ptr<gateway_child>> gateways_;
    std::deque<planned_fault> planned_;
    std::vector<open_fault> open_;
    std::vector<std::string> findings_;
    std::ostringstream log_;
    std::uint64_t jobs_ = 0;
    std::int64_t version_ = 1;
};

} // namespace

soak_result run_soak(soak_options const& options)
{
    return soak(options).run();
}

} // namespace masticshift::gateway_soak
