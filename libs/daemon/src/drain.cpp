#include "drain.hpp"

#include "handover_wire.hpp"

#include <core/log.hpp>
#include <peer_link/message_kind.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds job_check_interval{20};

/// The last 1/4 of the drain limit is reserved for the handover.
constexpr int handover_divisor = 4;

void log_handover(homes::process_name const& process,
                  std::string const& successor, std::size_t records)
{
    boost::json::object fields;
    fields["process"] = homes::to_string(process);
    fields["successor"] = successor;
    fields["records"] = records;
    log_event(log_level::info, "table_handed_over", std::move(fields));
}

} // namespace

drain::drain(asio::any_io_executor executor, entry_state& state,
             job_runner& runner, peer_watch& watch,
             peer_link::peer_client& peers)
    : executor_(std::move(executor)),
      state_(state),
      runner_(runner),
      watch_(watch),
      peers_(peers)
{
}

asio::awaitable<void> drain::run()
{
    auto const limit = state_.settings.drain.limit;
    auto const started = steady_clock::now();
    state_.draining = true;
    state_.table.close_admission();
    log_event(log_level::info, "admission_closed");
    co_await wait_for_jobs(started + limit - limit / handover_divisor);
    co_await hand_over(started + limit);
}

asio::awaitable<void> drain::wait_for_jobs(time_point deadline)
{
    asio::steady_timer pause(executor_);
    while (runner_.running_jobs() > 0 && steady_clock::now() < deadline)
    {
        pause.expires_after(job_check_interval);
        co_await pause.async_wait(as_values);
    }
    runner_.end_all(steady_clock::now());
}

asio::awaitable<void> drain::hand_over(time_point drain_deadline)
{
    auto tables = state_.inherited.export_tables();
    tables.push_back(state_.table.export_records(steady_clock::now()));
    auto const successors = watch_.successors(steady_clock::now());
    for (auto const& table : tables)
    {
        for (auto const& successor : successors)
        {
            auto const address = config::parse_socket_address(successor);
            if (!address ||
                !co_await hand_over_table(*address, table, drain_deadline))
                continue;
            log_handover(table.header.process, successor, table.records.size());
            watch_.announce_succession(table.header.process, successor,
                                       steady_clock::now());
            break;
        }
    }
    co_await watch_.broadcast_heartbeat(steady_clock::now());
}

asio::awaitable<bool> drain::hand_over_table(config::socket_address successor,
                                             homes::handover_table const& table,
                                             time_point drain_deadline)
{
    homes::handover_part_limits const limits;
    for (auto const& part : homes::split_into_parts(table, limits))
    {
        auto const deadline = std::min<time_point>(
            drain_deadline,
            steady_clock::now() + state_.settings.peers.call_timeout);
        auto message = peer_link::make_message(to_wire(part));
        auto const result =
            co_await peers_.call(successor, std::move(message), deadline);
        if (!result || !result->handover_answer.accepted)
            co_return false;
    }
    co_return true;
}

} // namespace masticshift::daemon
