#include <peer_link/heartbeat_conversion.hpp>

#include <config/daemon_settings.hpp>

#include <algorithm>

namespace masticshift::peer_link
{

namespace
{

namespace model = masticshift::membership;

/// Longer ages are clamped to this value, which fits a 32-bit number of
/// milliseconds and exceeds every retention period.
constexpr milliseconds longest_age{2'000'000'000};

std::int64_t to_signed(std::uint64_t number)
{
    return static_cast<std::int64_t>(number);
}

std::uint64_t to_unsigned(std::int64_t number)
{
    return static_cast<std::uint64_t>(number);
}

wire::service_load to_wire(model::service_load const& load)
{
    wire::service_load result;
    result.__set_service_name(load.service);
    result.__set_idle_slots(load.idle_slots);
    result.__set_queued_tasks(load.queued_tasks);
    return result;
}

wire::leaving_notice to_wire(model::leaving_notice const& notice)
{
    wire::leaving_notice result;
    result.__set_endpoint(notice.endpoint);
    result.__set_as_of_us(notice.as_of_us);
    if (notice.returned)
        result.__set_returned(true);
    return result;
}

wire::succession to_wire(model::succession const& entry)
{
    auto const age = std::clamp(entry.age, milliseconds{0}, longest_age);
    wire::succession result;
    result.__set_stopped_address(entry.stopped.address);
    result.__set_stopped_incarnation(entry.stopped.incarnation);
    result.__set_address(entry.successor.address);
    result.__set_incarnation(entry.successor.incarnation);
    result.__set_handovers(entry.handovers);
    result.__set_age_ms(static_cast<std::int32_t>(age.count()));
    return result;
}

model::service_load from_wire(wire::service_load const& load)
{
    return {load.service_name, load.idle_slots, load.queued_tasks};
}

model::leaving_notice from_wire(wire::leaving_notice const& notice)
{
    return {notice.endpoint, notice.as_of_us, notice.returned};
}

model::succession from_wire(wire::succession const& entry)
{
    return {{entry.stopped_address, entry.stopped_incarnation},
            {entry.address, entry.incarnation},
            entry.handovers,
            milliseconds{entry.age_ms}};
}

template <class Source, class Target>
void convert_all(std::vector<Source> const& from, std::vector<Target>& to)
{
    to.reserve(from.size());
    for (auto const& item : from)
    {
        if constexpr (requires { to_wire(item); })
            to.push_back(to_wire(item));
        else
            to.push_back(from_wire(item));
    }
}

bool is_address(std::string const& text)
{
    return config::parse_socket_address(text).has_value();
}

bool is_valid(wire::leaving_notice const& notice)
{
    return is_address(notice.endpoint);
}

bool is_valid(wire::succession const& entry)
{
    return is_address(entry.stopped_address) && is_address(entry.address) &&
           entry.handovers > 0 && entry.age_ms >= 0;
}

bool is_valid(wire::heartbeat const& beat)
{
    auto const all_valid = [](auto const& items)
    {
        return std::ranges::all_of(items,
                                   [](auto const& item)
                                   {
                                       return is_valid(item);
                                   });
    };
    return is_address(beat.address) && !beat.data_centre.empty() &&
           beat.revision >= 0 && beat.sequence > 0 &&
           all_valid(beat.leaving_endpoints) && all_valid(beat.successions);
}

} // namespace

wire::heartbeat to_wire(model::heartbeat const& beat)
{
    wire::heartbeat result;
    result.__set_address(beat.sender.address);
    result.__set_incarnation(beat.sender.incarnation);
    result.__set_generation(beat.generation);
    result.__set_data_centre(beat.data_centre);
    result.__set_revision(to_signed(beat.revision));
    result.__set_draining(beat.draining);
    result.__set_sequence(beat.sequence);
    result.__set_news_digest(to_signed(beat.news_digest));
    convert_all(beat.loads, result.loads);
    convert_all(beat.leaving_endpoints, result.leaving_endpoints);
    convert_all(beat.successions, result.successions);
    return result;
}

wire::heartbeat_reply to_wire_reply(model::heartbeat const& beat)
{
    wire::heartbeat_reply result;
    result.__set_beat(to_wire(beat));
    return result;
}

outcome<model::heartbeat> from_wire(wire::heartbeat const& beat)
{
    if (!is_valid(beat))
        return failure{result_code::peer_protocol, "malformed heartbeat"};
    model::heartbeat result;
    result.sender = {beat.address, beat.incarnation};
    result.generation = beat.generation;
    result.data_centre = beat.data_centre;
    result.revision = to_unsigned(beat.revision);
    result.draining = beat.draining;
    result.sequence = beat.sequence;
    result.news_digest = to_unsigned(beat.news_digest);
    convert_all(beat.loads, result.loads);
    convert_all(beat.leaving_endpoints, result.leaving_endpoints);
    convert_all(beat.successions, result.successions);
    return result;
}

outcome<model::heartbeat> from_wire(wire::heartbeat_reply const& reply)
{
    return from_wire(reply.beat);
}

} // namespace masticshift::peer_link
