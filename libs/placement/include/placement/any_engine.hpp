#ifndef MASTICSHIFT_PLACEMENT_ANY_ENGINE_HPP
#define MASTICSHIFT_PLACEMENT_ANY_ENGINE_HPP

#include <placement/engine.hpp>

#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <variant>

namespace masticshift::placement
{

/// An engine whose policy is selected by name at run time. The members are
/// those of `engine`.
class any_engine
{
public:
    using alternatives =
        std::variant<engine<lending_policy>, engine<lending_fast_policy>,
                     engine<lending_eager_policy>, engine<lending_fifo_policy>,
                     engine<fixed_share_policy>,
                     engine<fixed_share_fifo_policy>>;

    explicit any_engine(alternatives chosen) : engine_(std::move(chosen))
    {
    }

    void configure(config::operator_configuration const& text, time_point now)
    {
        std::visit(
            [&](auto& e)
            {
                e.configure(text, now);
            },
            engine_);
    }
    void set_entries(std::vector<live_entry> live, time_point now)
    {
        std::visit(
            [&](auto& e)
            {
                e.set_entries(std::move(live), now);
            },
            engine_);
    }
    void set_leaving(std::vector<std::string> const& addresses, time_point now)
    {
        std::visit(
            [&](auto& e)
            {
                e.set_leaving(addresses, now);
            },
            engine_);
    }
    admission admit(job_request const& request, time_point now)
    {
        return std::visit(
            [&](auto& e)
            {
                return e.admit(request, now);
            },
            engine_);
    }
    std::vector<assignment> place(time_point now)
    {
        return std::visit(
            [&](auto& e)
            {
                return e.place(now);
            },
            engine_);
    }
    void finished(task_ref task, task_result result, duration took,
                  time_point now)
    {
        std::visit(
            [&](auto& e)
            {
                e.finished(task, result, took, now);
            },
            engine_);
    }
    bool requeue(task_ref task, time_point now)
    {
        return std::visit(
            [&](auto& e)
            {
                return e.requeue(task, now);
            },
            engine_);
    }
    std::vector<task_ref> cancel(std::uint64_t job, time_point now)
    {
        return std::visit(
            [&](auto& e)
            {
                return e.cancel(job, now);
            },
            engine_);
    }
    std::vector<borrow_request> take_borrow_requests(time_point now)
    {
        return std::visit(
            [&](auto& e)
            {
                return e.take_borrow_requests(now);
            },
            engine_);
    }
    std::vector<loan> lend(std::string_view service, unsigned count,
                           std::string_view borrower, std::int64_t incarnation,
                           time_point now)
    {
        return std::visit(
            [&](auto& e)
            {
                return e.lend(service, count, borrower, incarnation, now);
            },
            engine_);
    }
    void accept_loans(std::string_view lender, std::vector<loan> const& loans,
                      time_point now)
    {
        std::visit(
            [&](auto& e)
            {
                e.accept_loans(lender, loans, now);
            },
            engine_);
    }
    std::vector<returned_loans> take_surplus_loans(time_point now)
    {
        return std::visit(
            [&](auto& e)
            {
                return e.take_surplus_loans(now);
            },
            engine_);
    }
    void accept_returned_loans(std::string_view borrower,
                               std::int64_t incarnation,
                               std::vector<loan> const& loans, time_point now)
    {
        std::visit(
            [&](auto& e)
            {
                e.accept_returned_loans(borrower, incarnation, loans, now);
            },
            engine_);
    }
    std::optional<time_point> next_event(time_point now) const
    {
        return std::visit(
            [&](auto const& e)
            {
                return e.next_event(now);
            },
            engine_);
    }
    std::vector<service_load> load(time_point now) const
    {
        return std::visit(
            [&](auto const& e)
            {
                return e.load(now);
            },
            engine_);
    }
    engine_status status(time_point now) const
    {
        return std::visit(
            [&](auto const& e)
            {
                return e.status(now);
            },
            engine_);
    }

private:
    alternatives engine_;
};

/// Names of all policies.
std::span<std::string_view const> policy_names();

/// Makes an engine of the named policy. Empty for an unknown name.
std::optional<any_engine> make_engine(std::string_view policy,
                                      engine_settings settings);

} // namespace masticshift::placement

#endif
