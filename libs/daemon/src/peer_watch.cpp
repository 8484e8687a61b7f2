#include "peer_watch.hpp"

#include "failure_log.hpp"

#include <core/log.hpp>
#include <peer_link/heartbeat_conversion.hpp>
#include <peer_link/message_kind.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;
using membership::heartbeat_result;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

void log_peer(heartbeat_result result, membership::process_id const& peer)
{
    if (result == heartbeat_result::known || result == heartbeat_result::stale)
        return;
    boost::json::object fields;
    fields["peer"] = peer.address;
    fields["change"] = membership::name_of(result);
    log_event(log_level::info, "peer_heard", std::move(fields));
}

membership::process_id to_process(homes::process_name const& name)
{
    return {name.address, static_cast<std::int64_t>(name.incarnation)};
}

homes::process_name to_name(membership::process_id const& process)
{
    return {process.address, static_cast<std::uint64_t>(process.incarnation)};
}

placement::live_entry to_live_entry(membership::peer_state const& peer)
{
    placement::live_entry result;
    result.address = peer.address;
    result.data_centre = peer.data_centre;
    result.sequence = static_cast<std::uint64_t>(peer.sequence);
    for (auto const& load : peer.loads)
    {
        result.loads.push_back(
            {load.service, static_cast<unsigned>(std::max(load.idle_slots, 0)),
             static_cast<unsigned>(std::max(load.queued_tasks, 0))});
    }
    return result;
}

} // namespace

peer_watch::peer_watch(asio::any_io_executor executor, entry_state& state,
                       membership::membership_view& view, job_runner& runner,
                       configuration_fetcher& fetcher,
                       peer_link::peer_client& peers,
                       transport::http_client& endpoints)
    : executor_(std::move(executor)),
      state_(state),
      view_(view),
      runner_(runner),
      fetcher_(fetcher),
      peers_(peers),
      endpoints_(endpoints)
{
    std::vector<std::string> configured;
    for (auto const& address : state_.settings.peers.addresses)
        configured.push_back(config::to_string(address));
    view_.peers.set_configured(configured);
    update(steady_clock::now());
}

asio::awaitable<void> peer_watch::run()
{
    asio::steady_timer timer(executor_);
    while (true)
    {
        auto const now = steady_clock::now();
        for (auto const& forgotten : view_.expire(now))
        {
            auto const address = config::parse_socket_address(forgotten);
            if (address)
                peers_.forget(*address);
        }
        update(now);
        auto const beat = make_heartbeat(now);
        auto const message = peer_link::to_wire(beat);
        for (auto& peer : view_.heartbeat_targets(now))
            asio::co_spawn(executor_, send(peer, message), asio::detached);
        timer.expires_after(state_.settings.peers.heartbeat_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

membership::heartbeat peer_watch::make_heartbeat(time_point now)
{
    membership::own_state own;
    own.generation = static_cast<int>(state_.table.current_token().generation);
    own.draining = state_.draining;
    for (auto const& load : state_.engine.load(now))
    {
        own.loads.push_back({load.service, static_cast<int>(load.idle_slots),
                             static_cast<int>(load.queued_tasks)});
    }
    return view_.next_heartbeat(own, now);
}

asio::awaitable<void> peer_watch::send(std::string peer,
                                       wire::heartbeat message)
{
    auto const address = config::parse_socket_address(peer);
    if (!address)
        co_return;
    auto const deadline =
        steady_clock::now() + state_.settings.peers.call_timeout;
    auto call = peer_link::make_message(std::move(message));
    auto const result =
        co_await peers_.call(*address, std::move(call), deadline);
    auto const now = steady_clock::now();
    if (!result)
    {
        view_.peers.record_failed_call(peer, now);
        co_return;
    }
    auto const response = peer_link::from_wire(result->heartbeat_answer);
    if (response)
        apply_heartbeat(*response, now);
    else
        log_failure("heartbeat_refused", response.error());
}

outcome<wire::heartbeat_reply>
peer_watch::receive_heartbeat(wire::heartbeat const& message, time_point now)
{
    auto const beat = peer_link::from_wire(message);
    if (!beat)
    {
        log_failure("heartbeat_refused", beat.error());
        return beat.error();
    }
    apply_heartbeat(*beat, now);
    return peer_link::to_wire_reply(view_.make_response(now));
}

void peer_watch::apply_heartbeat(membership::heartbeat const& beat,
                                 time_point now)
{
    log_peer(view_.receive(beat, now), beat.sender);
    learn_successions(beat.successions, now);
    update(now);
    fetcher_.start_next(now);
}

void peer_watch::learn_successions(
    std::vector<membership::succession> const& successions, time_point now)
{
    for (auto const& received : successions)
    {
        auto const successor = view_.successions.successor_of(received.stopped);
        if (successor)
        {
            state_.router.learn_succession(to_name(received.stopped),
                                           successor->address, now);
        }
    }
}

void peer_watch::record_platform_revision(std::uint64_t revision,
                                          time_point now)
{
    view_.configuration.record_announced({}, revision, now);
    fetcher_.start_next(now);
}

void peer_watch::apply_vm_list(store::vm_list const& vms, time_point now)
{
    membership::vm_list list;
    list.as_of_us = vms.as_of_us;
    for (auto const& vm : vms.vms)
    {
        auto const address = config::to_string(vm.address);
        bool const leaving = vm.state == store::vm_state::leaving;
        if (vm.role == store::vm_role::entry)
            list.entries.push_back({address, vm.data_centre, leaving});
        else
            list.endpoints.push_back({address, leaving});
    }
    view_.apply_list(list, now);
    update(now);
}

void peer_watch::update(time_point now)
{
    update_peers(now);
    update_leaving(now);
    update_connections(now);
    runner_.schedule_placement();
}

void peer_watch::update_peers(time_point now)
{
    std::set<std::string> known;
    for (auto const& [address, peer] : view_.peers.all())
        known.insert(address);
    state_.router.set_peers(std::move(known));
    std::vector<placement::live_entry> live;
    for (auto const* peer : view_.peers.live(now))
    {
        // A draining entry starts no new tasks, so its slots are left to the
        // other entries.
        if (!peer->draining)
            live.push_back(to_live_entry(*peer));
    }
    state_.engine.set_entries(std::move(live), now);
}

void peer_watch::update_leaving(time_point now)
{
    auto leaving = view_.leaving.endpoints();
    if (leaving == leaving_)
        return;
    for (auto const& endpoint : leaving)
    {
        if (std::ranges::binary_search(leaving_, endpoint))
            continue;
        boost::json::object fields;
        fields["endpoint"] = endpoint;
        log_event(log_level::info, "endpoint_leaving_seen", std::move(fields));
    }
    leaving_ = std::move(leaving);
    state_.engine.set_leaving(leaving_, now);
}

// While entries disagree on which of them are live, together they may exceed
// the limit of an endpoint. It then refuses the task, which is queued again.
void peer_watch::update_connections(time_point now)
{
    if (!state_.configuration)
        return;
    auto const revision = state_.configuration->revision;
    auto const entries = view_.peers.live(now).size() + 1;
    if (revision == limits_revision_ && entries == limits_entries_)
        return;
    limits_revision_ = revision;
    limits_entries_ = entries;
    for (auto const& [name, endpoint] : state_.configuration->endpoints)
    {
        auto const share = endpoint.connections / entries;
        auto const limit = std::max<std::size_t>(share, 1);
        endpoints_.set_max_connections(endpoint.ip, endpoint.port,
                                       static_cast<unsigned>(limit));
    }
}

std::vector<std::string> peer_watch::successors(time_point now) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (auto const* peer : view_.peers.live(now))
    {
        if (peer->draining || peer->leaving)
            continue;
        bool const same = peer->data_centre == view_.peers.data_centre();
        (same ? near : far).push_back(peer->address);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

void peer_watch::announce_succession(homes::process_name const& stopped,
                                     std::string const& successor,
                                     time_point now)
{
    auto const* peer = view_.peers.find(successor);
    if (peer == nullptr)
        return;
    membership::succession entry;
    entry.stopped = to_process(stopped);
    entry.successor = {successor, peer->incarnation};
    entry.handovers = view_.successions.handovers_of(entry.stopped) + 1;
    view_.successions.add(entry, now);
    state_.router.learn_succession(stopped, successor, now);
}

asio::awaitable<void> peer_watch::broadcast_heartbeat(time_point now)
{
    auto const message = peer_link::to_wire(make_heartbeat(now));
    auto const live = view_.peers.live(now);
    auto const pending = std::make_shared<std::size_t>(live.size());
    auto const all_completed = std::make_shared<asio::steady_timer>(
        executor_, state_.settings.peers.call_timeout);
    auto const on_completion =
        [pending, all_completed](std::exception_ptr const&)
    {
        if (--*pending == 0)
            all_completed->cancel();
    };
    // In parallel, so that several unresponsive peers delay the stop by one
    // call timeout only.
    for (auto const* peer : live)
        asio::co_spawn(executor_, send(peer->address, message), on_completion);
    if (*pending > 0)
        co_await all_completed->async_wait(as_values);
}

boost::json::value peer_watch::describe(time_point now) const
{
    boost::json::array rows;
    for (auto const& [address, peer] : view_.peers.all())
    {
        boost::json::object row;
        row["address"] = address;
        row["data_centre"] = peer.data_centre;
        row["live"] = view_.peers.is_live(peer, now);
        row["draining"] = peer.draining;
        row["revision"] = peer.revision;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace masticshift::daemon
