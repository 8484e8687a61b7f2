#include <daemon/entry.hpp>

#include "caller_api.hpp"
#include "configuration_holder.hpp"
#include "drain.hpp"
#include "entry_state.hpp"
#include "job_runner.hpp"
#include "lending.hpp"
#include "operator_api.hpp"
#include "peer_api.hpp"
#include "peer_watch.hpp"
#include "platform_watch.hpp"
#include "submission_service.hpp"

#include <core/log.hpp>
#include <daemon/supervisor.hpp>
#include <peer_link/peer_client.hpp>
#include <peer_link/peer_server.hpp>
#include <transport/http_client.hpp>
#include <transport/http_server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds upkeep_interval{500};

/// Grace period for answers that are still being written when a drain ends.
constexpr milliseconds answer_grace_period{200};

constexpr milliseconds call_check_interval{20};

transport::http_server_limits
make_server_limits(config::limit_settings const& settings)
{
    transport::http_server_limits limits;
    limits.max_body_bytes = settings.max_body_bytes;
    limits.max_header_bytes = settings.max_header_bytes;
    limits.max_connections = settings.max_connections;
    limits.request_read = settings.request_read_timeout;
    limits.idle = settings.idle_connection;
    return limits;
}

transport::http_client_limits
make_client_limits(config::limit_settings const& settings)
{
    transport::http_client_limits limits;
    limits.max_body_bytes = settings.max_answer_bytes;
    limits.max_header_bytes = settings.max_header_bytes;
    limits.connect = settings.connect_timeout;
    limits.idle = settings.idle_endpoint_connection;
    return limits;
}

membership::membership_view make_view(entry_state const& state)
{
    auto const& settings = state.settings;
    membership::process_id const self{
        state.self.address, static_cast<std::int64_t>(state.self.incarnation)};
    membership::peer_table_settings table;
    table.heartbeat_interval = settings.peers.heartbeat_interval;
    table.dead_after = settings.peers.dead_after;
    return {self, settings.entry.data_centre, table, settings.homes.retention};
}

peer_link::peer_client_limits
make_peer_limits(config::peer_settings const& settings)
{
    peer_link::peer_client_limits limits;
    limits.connect = settings.call_timeout;
    return limits;
}

} // namespace

/// Constructs the components in the order of their dependencies and connects
/// them.
class entry::impl
{
public:
    impl(asio::any_io_executor const& executor,
         config::daemon_settings settings)
        : executor_(executor),
          state_(std::move(settings)),
          endpoint_client_(executor,
                           make_client_limits(state_.settings.limits)),
          platform_client_(executor,
                           make_client_limits(state_.settings.limits)),
          peer_client_(executor, make_peer_limits(state_.settings.peers),
                       state_.self.incarnation),
          lending_(executor, state_, peer_client_),
          runner_(executor, state_.engine, endpoint_client_, state_.metrics,
                  make_hooks()),
          submissions_(executor, state_, runner_, peer_client_),
          holder_(state_, runner_),
          platform_(platform_client_, state_.settings.platform.address,
                    state_.settings.platform.call_timeout),
          store_(platform_, store::timer_wait{}),
          view_(make_view(state_)),
          fetcher_(executor, state_, view_.configuration, holder_, store_,
                   peer_client_),
          watch_(executor, state_, view_, runner_, fetcher_, peer_client_,
                 endpoint_client_),
          platform_watch_(state_, platform_, store_, make_platform_hooks()),
          caller_api_(state_, submissions_),
          peer_api_(state_, submissions_, runner_,
                    [this](wire::heartbeat const& heartbeat)
                    {
                        return watch_.receive_heartbeat(heartbeat,
                                                        steady_clock::now());
                    }),
          root_(executor, "entry"),
          operator_api_(make_sources()),
          caller_server_(
              executor, make_server_limits(state_.settings.limits),
              [this](transport::http_request request)
              {
                  return caller_api_.handle(std::move(request));
              },
              [this](failure const& error)
              {
                  return caller_api_.answer_error(error);
              }),
          operator_server_(
              executor, make_server_limits(state_.settings.limits),
              [this](transport::http_request request)
              {
                  return operator_api_.handle(std::move(request));
              },
              operator_api::answer_error),
          peer_server_(executor, {},
                       [this](wire::message call)
                       {
                           return peer_api_.handle(std::move(call));
                       })
    {
        lending_.connect(runner_);
    }

    outcome<void> start(std::function<void()> stopped)
    {
        stopped_ = std::move(stopped);
        auto const& addresses = state_.settings.entry;
        auto opened = peer_server_.listen(addresses.peer_listen_address.ip,
                                          addresses.peer_listen_address.port);
        if (opened)
            opened = operator_server_.listen(addresses.operator_address.ip,
                                             addresses.operator_address.port);
        if (opened)
            opened = caller_server_.listen(addresses.caller_address.ip,
                                           addresses.caller_address.port);
        if (!opened)
            return opened;
        start_loops();
        log_start();
        return {};
    }

    void drain()
    {
        if (state_.draining)
            return;
        state_.draining = true;
        asio::co_spawn(executor_, run_drain(), asio::detached);
    }

private:
    job_runner::hooks make_hooks()
    {
        job_runner::hooks hooks;
        hooks.ended = [this](job& ended)
        {
            submissions_.keep_answer(ended);
        };
        hooks.borrow = [this](placement::borrow_request request)
        {
            lending_.borrow(std::move(request));
        };
        hooks.give_back = [this](placement::returned_loans returned)
        {
            lending_.give_back(std::move(returned));
        };
        return hooks;
    }

    platform_watch::hooks make_platform_hooks()
    {
        platform_watch::hooks hooks;
        hooks.on_revision = [this](std::uint64_t revision)
        {
            watch_.record_platform_revision(revision, steady_clock::now());
        };
        hooks.on_vms = [this](store::vm_list const& vms)
        {
            watch_.apply_vm_list(vms, steady_clock::now());
        };
        return hooks;
    }

    operator_api::sources make_sources()
    {
        return {state_,
                runner_,
                root_,
                peer_client_,
                peer_server_,
                [this]
                {
                    return watch_.describe(steady_clock::now());
                },
                [this]
                {
                    drain();
                }};
    }

    void start_loops()
    {
        auto& control = root_.add_supervisor("control");
        control.add("platform",
                    [this]
                    {
                        return platform_watch_.run();
                    });
        control.add("peers",
                    [this]
                    {
                        return watch_.run();
                    });
        auto& upkeep = root_.add_supervisor("upkeep");
        upkeep.add("tables",
                   [this]
                   {
                       return maintain_tables();
                   });
    }

    void log_start() const
    {
        auto const& settings = state_.settings.entry;
        boost::json::object fields;
        fields["incarnation"] =
            static_cast<std::int64_t>(state_.self.incarnation);
        fields["caller_address"] = config::to_string(settings.caller_address);
        fields["data_centre"] = settings.data_centre;
        log_event(log_level::info, "entry_started", std::move(fields));
    }

    asio::awaitable<void> maintain_tables()
    {
        asio::steady_timer timer(executor_);
        while (true)
        {
            auto const now = steady_clock::now();
            state_.table.rotate(now);
            state_.inherited.expire(now);
            state_.router.expire(now);
            endpoint_client_.close_idle(now);
            timer.expires_after(upkeep_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    /// Waits for the calls of callers. Those forwarded to another home may end
    /// later than the jobs of this entry.
    asio::awaitable<void> wait_for_calls(time_point deadline)
    {
        asio::steady_timer timer(executor_, answer_grace_period);
        co_await timer.async_wait(as_values);
        while (caller_server_.connections() > 0 &&
               steady_clock::now() < deadline)
        {
            timer.expires_after(call_check_interval);
            co_await timer.async_wait(as_values);
        }
    }

    asio::awaitable<void> run_drain()
    {
        auto const deadline = steady_clock::now() + state_.settings.drain.limit;
        masticshift::daemon::drain graceful_drain(executor_, state_, runner_,
                                                  watch_, peer_client_);
        co_await graceful_drain.run();
        caller_server_.close_gracefully();
        co_await wait_for_calls(deadline);
        // Calls to other entries that are still unanswered fail now, so that
        // their callers get `outcome_unknown`.
        peer_client_.stop();
        co_await wait_for_calls(deadline);
        root_.stop();
        boost::json::object fields;
        fields["cut"] =
            state_.metrics.caller_calls - state_.metrics.caller_answers;
        log_event(log_level::info, "stopped", std::move(fields));
        caller_server_.stop();
        operator_server_.stop();
        peer_server_.stop();
        stopped_();
    }

    asio::any_io_executor executor_;
    std::function<void()> stopped_;
    entry_state state_;
    transport::http_client endpoint_client_;
    transport::http_client platform_client_;
    peer_link::peer_client peer_client_;
    lending lending_;
    job_runner runner_;
    submission_service submissions_;
    configuration_holder holder_;
    store::http_platform platform_;
    configuration_store store_;
    membership::membership_view view_;
    configuration_fetcher fetcher_;
    peer_watch watch_;
    platform_watch platform_watch_;
    caller_api caller_api_;
    peer_api peer_api_;
    supervisor root_;
    operator_api operator_api_;
    transport::http_server caller_server_;
    transport::http_server operator_server_;
    peer_link::peer_server peer_server_;
};

outcome<void> check_settings(config::daemon_settings const& settings)
{
    std::string known;
    for (auto const name : placement::policy_names())
    {
        if (name == settings.placement.policy)
            return {};
        known += (known.empty() ? "" : ", ") + std::string(name);
    }
    return failure{result_code::config_out_of_range,
                   "placement.policy: '" + settings.placement.policy +
                       "' is none of " + known};
}

entry::entry(asio::any_io_executor const& executor,
             config::daemon_settings settings)
    : impl_(std::make_unique<impl>(executor, std::move(settings)))
{
}

entry::~entry() = default;

outcome<void> entry::start(std::function<void()> stopped)
{
    return impl_->start(std::move(stopped));
}

void entry::drain()
{
    impl_->drain();
}

} // namespace masticshift::daemon
