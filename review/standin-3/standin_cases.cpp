#include "standin_cases.hpp"

#include <algorithm>
#include <csignal>

namespace review
{

namespace
{

constexpr milliseconds caller_timeout{10'000};
constexpr unsigned ok = 200;
constexpr unsigned gone = 410;

/// Bounds of the small deployments.
constexpr milliseconds cancel_bound{3'000};
constexpr milliseconds contact{3'000};
constexpr milliseconds grace{6'000};
constexpr milliseconds acknowledgement{4'000};
constexpr milliseconds configuration_bound{2'000};
constexpr milliseconds stop_bound{50};

/// "After a short delay" a process that has ended is started again.
constexpr milliseconds restart_delay{500};

/// Submits short jobs to all entries in turn until `end`, ten at once.
asio::awaitable<void> keep_busy(deployment& system, record& log,
                                milliseconds end, int first)
{
    constexpr int run_ms = 60;
    constexpr milliseconds timeout{1'500};
    for (int i = first; log.now() < end; i += 10)
    {
        auto digits = std::to_string(i);
        auto const id = "ab" + std::string(14 - digits.size(), '0') + digits;
        auto const entry = static_cast<std::size_t>(i) % system.entries();
        co_await system.submit(entry, id, 1, 4, run_ms, timeout);
    }
}

} // namespace

asio::awaitable<verdict> cancelled_job_after_restart(deployment& system,
                                                     record& log, bool trouble)
{
    std::string const id = "5c0e7a21d94b36f8";
    system.add_workers("ikeja", 2);
    system.add_workers("apapa", 2);
    system.add_workers("ibadan", 2);
    system.add_entries({"ikeja", "apapa", "ibadan"});
    if (!co_await system.start_entries())
        co_return verdict::not_run;
    co_await wait(contact);

    // The job runs, and its caller cancels it.
    call_outcome submitted;
    bool answered = false;
    asio::co_spawn(
        co_await asio::this_coro::executor,
        [&]() -> asio::awaitable<void>
        {
            submitted =
                co_await system.submit(0, id, 1, 2, 5'000, caller_timeout);
            answered = true;
        },
        asio::detached);
    co_await wait(milliseconds(500));
    if (system.starts_of(id) != 2)
        co_return verdict::not_run;
    auto const cancelled = co_await system.cancel(0, id, caller_timeout);
    if (cancelled.status != ok && cancelled.status != gone)
        co_return verdict::not_run;
    auto const acknowledged = log.now();
    while (!answered)
        co_await wait(milliseconds(10));

    auto& restarted = system.entry(0);
    if (trouble)
    {
        restarted.signal(SIGTERM);
        if (!co_await restarted.wait_until_ended(grace))
            co_return verdict::not_run;
        co_await wait(restart_delay);
        restarted.start();
        if (!co_await restarted.wait_until_ready(milliseconds(5'000)))
            co_return verdict::not_run;
    }
    // The entry is in touch again, and the bound of the cancellation is over.
    co_await wait(contact + milliseconds(200));
    while (log.now() < acknowledged + cancel_bound + milliseconds(500))
        co_await wait(milliseconds(10));

    // Seconds after the 2xx response, the request arrives once more.
    auto const resent = log.now();
    auto const before = system.starts_of(id);
    co_await system.submit(0, id, 1, 2, 500, caller_timeout);
    auto const again = system.starts_of(id) - before;
    log.add(std::to_string(again) +
            " starts of the cancelled job, whose request arrived again " +
            std::to_string((resent - acknowledged).count()) +
            " ms after its cancelling was acknowledged");
    co_return again == 0 ? verdict::rule_held : verdict::rule_broken;
}

asio::awaitable<verdict>
cancelled_job_of_dropped_route(deployment& system, record& log, bool trouble)
{
    std::string const id = "71d94b36f85c0e7a";
    constexpr int steps = 6;
    constexpr int run_ms = 3'000;
    constexpr milliseconds long_timeout{30'000};
    system.add_workers("ikeja", 2);
    system.add_workers("apapa", 2);
    system.add_workers("ibadan", 2);
    system.add_entries({"ikeja", "apapa", "ibadan"});
    if (!co_await system.start_entries())
        co_return verdict::not_run;
    co_await wait(contact);

    asio::co_spawn(
        co_await asio::this_coro::executor,
        [&]() -> asio::awaitable<void>
        {
            co_await system.submit(0, id, steps, 1, run_ms, long_timeout);
        },
        asio::detached);
    co_await wait(milliseconds(500));
    if (system.starts_of(id) != 1)
        co_return verdict::not_run;

    // The next version drops the route; without the disruption it keeps both.
    if (trouble)
        system.configure(12, {other_prefix});
    else
        system.configure(12, {job_prefix, other_prefix});
    co_await wait(configuration_bound);

    // The caller cancels the job, at all entries in turn, until it gets a 2xx
    // or 410.
    auto const first_sent = log.now();
    auto counted_from = first_sent + acknowledgement;
    for (std::size_t i = 0; log.now() < first_sent + acknowledgement; ++i)
    {
        auto const answer =
            co_await system.cancel(i % system.entries(), id, acknowledgement);
        if (answer.status / 100 == 2 || answer.status == gone)
        {
            counted_from = log.now();
            break;
        }
        co_await wait(milliseconds(400));
    }
    while (log.now() < counted_from + cancel_bound)
        co_await wait(milliseconds(5));
    auto const before = system.starts_of(id);
    co_await wait(stop_bound + milliseconds(50));
    bool const runs_on = system.is_running(id);
    co_await wait(milliseconds(run_ms + 500));
    auto const late = system.starts_of(id) - before;
    log.add("the job " + std::string(runs_on ? "runs on" : "does not run") +
            " later than cancel_ms + stop_ms, and " + std::to_string(late) +
            " of its tasks are started after cancel_ms");
    co_return late == 0 && !runs_on ? verdict::rule_held : verdict::rule_broken;
}

asio::awaitable<verdict> odd_entry_of_draining_worker(deployment& system,
                                                      record& log, bool trouble)
{
    constexpr milliseconds drain_bound{2'000};
    constexpr milliseconds observed{3'000};
    system.add_workers("ikeja", 5);
    system.add_workers("apapa", 5);
    system.add_workers("ibadan", 5);
    system.add_entries({"ikeja", "apapa", "ibadan"});
    if (!co_await system.start_entries())
        co_return verdict::not_run;
    co_await wait(contact);
    auto const executor = co_await asio::this_coro::executor;
    auto const end = log.now() + milliseconds(2'000) + drain_bound + observed;
    for (int i = 0; i < 10; ++i)
        asio::co_spawn(executor, keep_busy(system, log, end, i),
                       asio::detached);
    co_await wait(milliseconds(2'000));

    auto& leaving = system.worker_at(0);
    leaving.drain();
    auto const acknowledged = log.now();
    log.add("the store has accepted that " + leaving.id() + " is draining");
    co_await wait(drain_bound - milliseconds(100));
    if (trouble)
    {
        // An entry as the page describes it, but without version, cold_left_ms,
        // seq and born.
        json::object const odd{
            {"service", "orders"},
            {"address", to_string(leaving.where())},
            {"zone", "ikeja"},
            {"slots", 8},
            {"state", "ready"},
            {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
            {"labels", {"a", "r-ikeja"}}};
        system.platform().put("servers", leaving.id(), json::serialize(odd));
        log.add("another writer has put an entry without version, "
                "cold_left_ms, seq and born under " +
                leaving.id());
    }
    co_await wait(observed);
    std::size_t late = 0;
    for (auto const& each : system.seen().starts)
    {
        if (each.worker == leaving.id() && each.at > acknowledged + drain_bound)
            ++late;
    }
    log.add(std::to_string(late) + " tasks were started on " + leaving.id() +
            " later than drain_ms after the store had accepted that it drains");
    co_return late == 0 ? verdict::rule_held : verdict::rule_broken;
}

asio::awaitable<verdict> odd_entry_with_another_zone(deployment& system,
                                                     record& log, bool trouble)
{
    constexpr milliseconds drain_bound{2'000};
    constexpr milliseconds observed{4'000};
    constexpr milliseconds before_drain{8'000};
    system.add_workers("ikeja", 5);
    system.add_workers("apapa", 5);
    system.add_workers("ibadan", 5);
    system.add_entries({"ikeja", "apapa", "ibadan"});
    if (!co_await system.start_entries())
        co_return verdict::not_run;
    co_await wait(contact);
    auto const executor = co_await asio::this_coro::executor;
    auto const end =
        log.now() + milliseconds(1'000) + before_drain + drain_bound + observed;
    for (int i = 0; i < 10; ++i)
        asio::co_spawn(executor, keep_busy(system, log, end, i),
                       asio::detached);
    co_await wait(milliseconds(1'000));

    auto& leaving = system.worker_at(0);
    auto const reports = leaving.reports();
    while (leaving.reports() == reports)
        co_await wait(milliseconds(10));
    if (trouble)
    {
        // An entry as the page describes it, but without version, cold_left_ms,
        // seq and born, and with another zone than the worker's.
        json::object const odd{
            {"service", "orders"},
            {"address", to_string(leaving.where())},
            {"zone", "apapa"},
            {"slots", 8},
            {"state", "ready"},
            {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
            {"labels", {"a", "r-ikeja"}}};
        system.platform().put("servers", leaving.id(), json::serialize(odd));
        log.add("another writer has put an entry without version, "
                "cold_left_ms, seq and born under " +
                leaving.id());
    }
    co_await wait(before_drain);
    leaving.drain();
    auto const acknowledged = log.now();
    log.add("the store has accepted that " + leaving.id() + " is draining");
    co_await wait(drain_bound + observed);
    std::size_t late = 0;
    for (auto const& each : system.seen().starts)
    {
        if (each.worker == leaving.id() && each.at > acknowledged + drain_bound)
            ++late;
    }
    log.add(std::to_string(late) + " tasks were started on " + leaving.id() +
            " later than drain_ms after the store had accepted that it drains");
    co_return late == 0 ? verdict::rule_held : verdict::rule_broken;
}

} // namespace review
