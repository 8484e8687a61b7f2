#include <membership/membership_view.hpp>

#include <utility>

namespace masticshift::membership
{

membership_view::membership_view(process_id self, std::string data_centre,
                                 peer_table_settings settings,
                                 milliseconds id_retention)
    : peers(std::move(self), std::move(data_centre), settings),
      successions(id_retention)
{
}

heartbeat_result membership_view::receive(heartbeat const& beat, time_point now)
{
    auto const result = peers.receive(beat, now);
    if (result == heartbeat_result::stale ||
        result == heartbeat_result::refused)
        return result;
    configuration.record_announced({beat.sender.address}, beat.revision, now);
    leaving.receive(beat.leaving_endpoints, beat.sender.address, now);
    for (auto const& entry : beat.successions)
        successions.add(entry, now);
    compare_digests(beat.news_digest, now);
    return result;
}

void membership_view::compare_digests(std::uint64_t digest, time_point now)
{
    if (digest == news_digest())
        return;
    leaving.resend(now);
    successions.resend(now);
}

void membership_view::apply_list(vm_list const& list, time_point now)
{
    // An older list may come from a lagging replica of the platform. Like the
    // endpoints, the peers are taken from the newest list only.
    auto const before = leaving.as_of_us();
    leaving.apply_list({list.as_of_us, list.endpoints}, now);
    if (list.as_of_us >= before || leaving.as_of_us() == list.as_of_us)
        peers.set_listed(list.entries);
}

heartbeat membership_view::next_heartbeat(own_state const& own, time_point now)
{
    ++round_;
    announced_ = own;
    announced_.loads = load_selector_.choose(own.loads, loads_per_heartbeat);
    return make_response(now);
}

heartbeat membership_view::make_response(time_point now)
{
    heartbeat beat;
    beat.sender = peers.self();
    beat.data_centre = peers.data_centre();
    beat.generation = announced_.generation;
    beat.revision = configuration.in_force();
    beat.draining = announced_.draining;
    beat.sequence = ++sequence_;
    beat.loads = announced_.loads;
    beat.news_digest = news_digest();
    beat.leaving_endpoints = leaving.recent_updates(now);
    beat.successions = successions.recent_updates(now);
    return beat;
}

std::vector<std::string>
membership_view::heartbeat_targets(time_point now) const
{
    return peers.heartbeat_targets(round_, now);
}

std::vector<std::string> membership_view::expire(time_point now)
{
    leaving.expire(now);
    successions.expire(now);
    auto forgotten = peers.expire(now);
    for (auto const& address : forgotten)
        configuration.forget({address});
    return forgotten;
}

std::uint64_t membership_view::news_digest() const
{
    return leaving.digest() ^ successions.digest();
}

} // namespace masticshift::membership
