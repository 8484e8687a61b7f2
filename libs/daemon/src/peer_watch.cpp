#include "peer_watch.hpp"

#include <core/log.hpp>
#include <peer_link/message_kind.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;

} // namespace

peer_watch::peer_watch(asio::any_io_executor executor, entry_state& state,
                       job_runner& runner, configuration_holder& holder,
                       peer_link::peer_client& peers)
    : executor_(std::move(executor)),
      state_(state),
      runner_(runner),
      holder_(holder),
      peers_(peers)
{
    for (auto const& address : state_.settings.peers.addresses)
        known_.insert(config::to_string(address));
    known_.erase(state_.self.address);
    state_.router.set_peers(known_);
    update_engine(steady_clock::now());
}

asio::awaitable<void> peer_watch::run()
{
    asio::steady_timer timer(executor_);
    while (true)
    {
        update_engine(steady_clock::now());
        co_await send_heartbeats();
        timer.expires_after(state_.settings.peers.heartbeat_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> peer_watch::send_heartbeats()
{
    auto const heartbeat = make_heartbeat(steady_clock::now());
    for (auto const& known : known_)
    {
        auto const address = config::parse_socket_address(known);
        if (address)
            asio::co_spawn(executor_, send(*address, heartbeat),
                           asio::detached);
    }
    co_return;
}

asio::awaitable<void> peer_watch::send(config::socket_address address,
                                       wire::heartbeat heartbeat)
{
    auto const deadline =
        steady_clock::now() + state_.settings.peers.call_timeout;
    auto message = peer_link::make_message(std::move(heartbeat));
    co_await peers_.call(address, std::move(message), deadline);
}

wire::heartbeat peer_watch::make_heartbeat(time_point now)
{
    wire::heartbeat heartbeat;
    heartbeat.__set_address(state_.self.address);
    heartbeat.__set_incarnation(
        static_cast<std::int64_t>(state_.self.incarnation));
    heartbeat.__set_data_centre(state_.settings.entry.data_centre);
    heartbeat.__set_revision(static_cast<std::int64_t>(holder_.revision()));
    heartbeat.__set_draining(state_.draining);
    heartbeat.__set_sequence(++sequence_);
    for (auto const& load : state_.engine.load(now))
    {
        wire::service_load row;
        row.__set_service_name(load.service);
        row.__set_idle_slots(static_cast<std::int32_t>(load.idle_slots));
        row.__set_queued_tasks(static_cast<std::int32_t>(load.queued_tasks));
        heartbeat.loads.push_back(std::move(row));
    }
    return heartbeat;
}

void peer_watch::hear(wire::heartbeat const& heartbeat, time_point now)
{
    if (!known_.contains(heartbeat.address))
        return;
    heard_[heartbeat.address] = {heartbeat, now};
    update_engine(now);
    auto const address = config::parse_socket_address(heartbeat.address);
    auto const revision = static_cast<std::uint64_t>(heartbeat.revision);
    if (address && revision > holder_.revision() && !fetching_)
    {
        fetching_ = true;
        asio::co_spawn(executor_, fetch_text(*address), asio::detached);
    }
}

asio::awaitable<void> peer_watch::fetch_text(config::socket_address address)
{
    auto const deadline =
        steady_clock::now() + state_.settings.peers.call_timeout;
    auto message = peer_link::make_message(wire::fetch_text());
    auto const result =
        co_await peers_.call(address, std::move(message), deadline);
    fetching_ = false;
    if (!result)
        co_return;
    auto const& text = result->fetch_text_answer;
    auto const now = steady_clock::now();
    auto const taken =
        holder_.put_in_force(static_cast<std::uint64_t>(text.revision),
                             text.text, config::to_string(address), now);
    if (!taken)
        log_event(log_level::warning, "configuration_refused");
}

bool peer_watch::is_live(peer const& known, time_point now) const
{
    return !known.last.draining &&
           now - known.heard <= state_.settings.peers.dead_after;
}

void peer_watch::update_engine(time_point now)
{
    std::vector<placement::entry_view> live;
    for (auto const& [address, known] : heard_)
    {
        if (!is_live(known, now))
            continue;
        placement::entry_view view;
        view.address = address;
        view.data_centre = known.last.data_centre;
        view.sequence = static_cast<std::uint64_t>(known.last.sequence);
        for (auto const& load : known.last.loads)
        {
            view.loads.push_back({load.service_name,
                                  static_cast<unsigned>(load.idle_slots),
                                  static_cast<unsigned>(load.queued_tasks)});
        }
        live.push_back(std::move(view));
    }
    state_.engine.set_entries(std::move(live), now);
    runner_.schedule_placement();
}

void peer_watch::take_vms(platform::vm_list const& vms, time_point now)
{
    std::vector<std::string> leaving;
    for (auto const& vm : vms.vms)
    {
        if (vm.role == platform::vm_role::endpoint &&
            vm.state == platform::vm_state::leaving)
            leaving.push_back(config::to_string(vm.address));
    }
    state_.engine.set_leaving(leaving, now);
}

std::vector<std::string> peer_watch::successors(time_point now) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (auto const& [address, known] : heard_)
    {
        if (!is_live(known, now))
            continue;
        bool const same =
            known.last.data_centre == state_.settings.entry.data_centre;
        (same ? near : far).push_back(address);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

void peer_watch::announce_succession(homes::process_name const& stopped,
                                     std::string const& successor,
                                     time_point now)
{
    successions_[stopped] = successor;
    state_.router.learn_succession(stopped, successor, now);
}

boost::json::value peer_watch::describe(time_point now) const
{
    boost::json::array rows;
    for (auto const& [address, known] : heard_)
    {
        boost::json::object row;
        row["address"] = address;
        row["data_centre"] = known.last.data_centre;
        row["live"] = is_live(known, now);
        row["revision"] = known.last.revision;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace masticshift::daemon
