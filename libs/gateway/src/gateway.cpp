#include <gateway/gateway.hpp>

#include "configuration_watch.hpp"
#include "endpoint_watch.hpp"
#include "job_service.hpp"
#include "peer_exchange.hpp"
#include "status_text.hpp"

#include <core/log.hpp>
#include <daemon/supervisor.hpp>
#include <peer_link/peer_server.hpp>
#include <transport/http_server.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace masticshift::gateway
{

namespace
{

/// How often buffered log lines are written.
constexpr milliseconds log_interval{50};

/// Time after which the load balancer sends no new connections: it checks
/// `/ready` once a second and needs two failed checks.
constexpr milliseconds balancer_detection_time{2'500};

/// A drain ends this long before the platform would kill the process.
constexpr milliseconds grace_margin{500};

/// Time for sending the last answers before the process stops.
constexpr milliseconds answer_flush_time{150};

constexpr milliseconds drain_interval{50};

/// Connections to endpoints are kept open, because each new one has a cost.
constexpr milliseconds endpoint_idle_timeout{120'000};
constexpr milliseconds connect_timeout{150};
constexpr milliseconds unacknowledged_timeout{1'000};

constexpr milliseconds store_idle_timeout{30'000};

/// Limits of the links between entries. A link that carries no data any more
/// has to be detected before callers submit their jobs again.
constexpr milliseconds peer_receive_timeout{450};
constexpr milliseconds peer_connect_timeout{200};
constexpr milliseconds peer_first_backoff{20};
constexpr milliseconds peer_longest_backoff{300};

/// The load balancer checks once a second. Soon after the start a check waits
/// this long for readiness, which would otherwise be seen a second later.
constexpr milliseconds ready_wait{400};
constexpr milliseconds ready_wait_age{3'000};
constexpr milliseconds ready_pause{10};

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

std::int64_t unix_microseconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

dispatch::entry_identity identity_of(config::gateway_identity const& settings)
{
    constexpr double thousandths = 1'000;
    return {config::to_string(settings.peer_address), unix_microseconds(),
            settings.data_centre,
            static_cast<int>(settings.processors * thousandths)};
}

transport::http_client_limits endpoint_client_limits()
{
    transport::http_client_limits limits;
    limits.connect = connect_timeout;
    limits.idle = endpoint_idle_timeout;
    limits.unacknowledged = unacknowledged_timeout;
    return limits;
}

transport::http_client_limits store_client_limits()
{
    transport::http_client_limits limits;
    limits.connect = connect_timeout;
    limits.idle = store_idle_timeout;
    limits.unacknowledged = unacknowledged_timeout;
    return limits;
}

peer_link::peer_client_limits peer_client_limits()
{
    peer_link::peer_client_limits limits;
    limits.connect = peer_connect_timeout;
    limits.receive_timeout = peer_receive_timeout;
    limits.first_backoff = peer_first_backoff;
    limits.longest_backoff = peer_longest_backoff;
    limits.unacknowledged = unacknowledged_timeout;
    return limits;
}

transport::http_response plain_response(unsigned status, std::string body)
{
    transport::http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

transport::http_response error_response(failure const& error)
{
    log_event(
        log_level::info, "call_malformed",
        {{"code", static_cast<int>(error.code)}, {"detail", error.detail}});
    return plain_response(info_of(error.code).http_status, "{}");
}

} // namespace

class gateway::impl
{
public:
    impl(asio::any_io_executor executor,
         config::gateway_settings const& settings)
        : executor_(std::move(executor)),
          state_(settings, identity_of(settings.gateway), steady_clock::now()),
          endpoint_client_(executor_, endpoint_client_limits()),
          store_client_(executor_, store_client_limits()),
          peer_client_(
              executor_, peer_client_limits(),
              static_cast<std::uint64_t>(state_.roster.self().incarnation)),
          store_(state_, store_client_, peer_client_),
          cell_manager_(state_, endpoint_client_, peer_client_),
          exchange_(state_, peer_client_, cell_manager_, store_),
          cancellations_(state_, peer_client_, cell_manager_),
          job_service_(state_, peer_client_, cell_manager_, cancellations_),
          configuration_(state_, store_, peer_client_),
          endpoints_(state_, store_,
                     [this]
                     {
                         return cell_manager_.active();
                     }),
          peer_server_(executor_, {},
                       [this](wire::message call)
                       {
                           return exchange_.handle_call(std::move(call));
                       }),
          caller_server_(
              executor_, {},
              [this](transport::http_request request)
              {
                  return answer_caller(std::move(request));
              },
              error_response),
          ready_server_(
              executor_, {},
              [this](transport::http_request const&)
              {
                  return answer_ready();
              },
              error_response),
          metrics_server_(
              executor_, {},
              [this](transport::http_request request)
              {
                  return answer_metrics(std::move(request));
              },
              error_response),
          loops_(executor_, "gateway")
    {
        endpoint_client_.on_connect(
            [this](transport::connection_cause cause, bool connected)
            {
                if (connected)
                    state_.metrics
                        .endpoint_connections(std::string(name_of(cause)))
                        .add();
                else
                    state_.metrics.failed_connects.add();
            });
        cell_manager_.on_claims_changed(
            [this]
            {
                exchange_.send_now();
            });
        cell_manager_.on_records_needed(
            [this]
            {
                endpoints_.read_now();
            });
    }

    outcome<void> start(std::function<void()> stopped)
    {
        on_stopped_ = std::move(stopped);
        auto const& own = state_.settings.gateway;
        auto const& peers = own.peer_listen_address.ip.empty()
                                ? own.peer_address
                                : own.peer_listen_address;
        auto listening = peer_server_.listen(peers.ip, peers.port);
        if (listening)
            listening = caller_server_.listen(own.caller_address.ip,
                                              own.caller_address.port);
        if (listening)
            listening = ready_server_.listen(own.ready_address.ip,
                                             own.ready_address.port);
        if (listening && !own.metrics_address.ip.empty())
            listening = metrics_server_.listen(own.metrics_address.ip,
                                               own.metrics_address.port);
        if (!listening)
            return listening;
        add_loops();
        log_event(log_level::info, "started",
                  {{"name", own.name},
                   {"data_centre", own.data_centre},
                   {"incarnation", state_.roster.self().incarnation}});
        return {};
    }

    void drain()
    {
        if (std::exchange(state_.leaving, true))
            return;
        state_.roster.set_leaving();
        log_event(log_level::info, "drain_begun",
                  {{"open_jobs", job_service_.open_jobs()}});
        asio::co_spawn(executor_, finish_drain(), asio::detached);
    }

    void reload(config::gateway_settings const& settings)
    {
        for (auto const& seed : settings.seeds)
            state_.roster.add_candidate(config::to_string(seed));
        state_.settings.seeds = settings.seeds;
        state_.settings.store_address = settings.store_address;
        log_event(log_level::info, "reloaded",
                  {{"store", config::to_string(settings.store_address)}});
    }

private:
    void add_loops()
    {
        auto& platform = loops_.add_supervisor("platform");
        platform.add("configuration",
                     [this]
                     {
                         return configuration_.follow_store();
                     });
        platform.add("evacuations",
                     [this]
                     {
                         return configuration_.confirm_evacuations();
                     });
        platform.add("endpoints",
                     [this]
                     {
                         return endpoints_.run();
                     });
        platform.add("registration",
                     [this]
                     {
                         return exchange_.register_entry();
                     });
        auto& peers = loops_.add_supervisor("peers");
        peers.add("signs_of_life",
                  [this]
                  {
                      return exchange_.run();
                  });
        peers.add("configuration",
                  [this]
                  {
                      return configuration_.follow_peers();
                  });
        loops_.add("dispatch",
                   [this]
                   {
                       return cell_manager_.run();
                   });
        loops_.add("cancellations",
                   [this]
                   {
                       return cancellations_.run();
                   });
        loops_.add("log",
                   []
                   {
                       return write_log();
                   });
    }

    static asio::awaitable<void> write_log()
    {
        for (;;)
        {
            flush_log();
            co_await pause(log_interval);
        }
    }

    asio::awaitable<std::optional<transport::http_response>>
    answer_caller(transport::http_request request)
    {
        auto response = co_await job_service_.answer(std::move(request));
        if (state_.leaving)
            response.fields.set("Connection", "close");
        co_return response;
    }

    /// Later on, a lack of usable endpoints is no reason to prefer other
    /// entries: none of them has any.
    bool is_ready() const
    {
        auto const dispatchers = state_.roster.dispatchers(steady_clock::now());
        return !state_.leaving && state_.configuration_version != 0 &&
               std::ranges::any_of(dispatchers,
                                   [&](dispatch::cell_dispatcher const& each)
                                   {
                                       return was_ready_ ||
                                              each.claim.endpoints > 0;
                                   });
    }

    asio::awaitable<std::optional<transport::http_response>> answer_ready()
    {
        auto const until = steady_clock::now() + ready_wait;
        auto now = steady_clock::now();
        while (!is_ready() && state_.recovery.age(now) < ready_wait_age &&
               now < until)
        {
            co_await pause(ready_pause);
            now = steady_clock::now();
        }
        bool const ready = is_ready();
        if (std::exchange(was_ready_, ready) != ready)
            log_event(log_level::info, ready ? "ready" : "not_ready",
                      {{"version", state_.configuration_version},
                       {"leaving", state_.leaving}});
        co_return plain_response(ready ? status_ok : status_unavailable, "");
    }

    asio::awaitable<std::optional<transport::http_response>>
    answer_metrics(transport::http_request request)
    {
        if (transport::path_of(request.target) == "/status")
        {
            auto status = plain_response(
                status_ok,
                status_text(state_, cell_manager_, job_service_.open_jobs(),
                            store_.reachable(), steady_clock::now()));
            status.fields.set("Content-Type", "application/json");
            co_return status;
        }
        auto response =
            plain_response(status_ok, state_.metrics.registry.render());
        response.fields.set("Content-Type", "text/plain; version=0.0.4");
        co_return response;
    }

    asio::awaitable<void> finish_drain()
    {
        auto const drain_start = steady_clock::now();
        auto const grace =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                state_.settings.bounds.grace_seconds));
        auto const limit =
            drain_start + std::max<duration>(grace - grace_margin, grace / 2);
        co_await exchange_.unregister_entry();
        for (;;)
        {
            co_await pause(drain_interval);
            auto const now = steady_clock::now();
            bool const idle = !cell_manager_.active() &&
                              job_service_.open_jobs() == 0 &&
                              now - drain_start > balancer_detection_time;
            if (now - drain_start > balancer_detection_time)
                job_service_.close();
            if (idle || now >= limit)
                break;
        }
        log_event(log_level::info, "drain_ended",
                  {{"open_jobs", job_service_.open_jobs()}});
        // Ends the jobs that are still open, so that every caller gets an
        // answer.
        cell_manager_.stop(steady_clock::now());
        peer_client_.stop();
        caller_server_.close_gracefully();
        co_await pause(answer_flush_time);
        log_event(log_level::info, "stopped",
                  {{"open_jobs", job_service_.open_jobs()},
                   {"dropped_log_lines", dropped_log_lines()}});
        flush_log();
        on_stopped_();
    }

    asio::any_io_executor executor_;
    gateway_state state_;
    transport::http_client endpoint_client_;
    transport::http_client store_client_;
    peer_link::peer_client peer_client_;
    store_client store_;
    cell_manager cell_manager_;
    peer_exchange exchange_;
    cancellation_service cancellations_;
    job_service job_service_;
    configuration_watch configuration_;
    endpoint_watch endpoints_;
    peer_link::peer_server peer_server_;
    transport::http_server caller_server_;
    transport::http_server ready_server_;
    transport::http_server metrics_server_;
    daemon::supervisor loops_;
    std::function<void()> on_stopped_;
    bool was_ready_ = false;
};

gateway::gateway(asio::any_io_executor executor,
                 config::gateway_settings const& settings)
    : impl_(std::make_unique<impl>(std::move(executor), settings))
{
}

gateway::~gateway() = default;

outcome<void> gateway::start(std::function<void()> stopped)
{
    return impl_->start(std::move(stopped));
}

void gateway::drain()
{
    impl_->drain();
}

void gateway::reload(config::gateway_settings const& settings)
{
    impl_->reload(settings);
}

} // namespace masticshift::gateway
