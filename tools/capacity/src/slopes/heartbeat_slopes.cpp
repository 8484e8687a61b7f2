#include "measurements.hpp"
#include "resource_use.hpp"
#include "sample_text.hpp"
#include "slope_report.hpp"

#include <membership/membership_view.hpp>
#include <peer_link/frame_codec.hpp>
#include <peer_link/heartbeat_conversion.hpp>
#include <peer_link/message_kind.hpp>

#include <memory>
#include <span>

namespace capacity
{

namespace
{

using namespace masticshift;

namespace model = masticshift::membership;

constexpr std::int64_t incarnation = 1'796'367'079'957'675;
constexpr int rounds = 2'000;
constexpr milliseconds id_retention{600'000};

std::string address_of(unsigned number)
{
    return "10.20." + std::to_string(number / 200) + "." +
           std::to_string(10 + number % 200) + ":7000";
}

model::heartbeat make_heartbeat(unsigned sender, unsigned services,
                                unsigned leaving)
{
    model::heartbeat message;
    message.sender = {address_of(sender), incarnation + sender};
    message.data_centre = "dc" + std::to_string(sender % 7);
    message.generation = 300;
    message.revision = 2'000;
    message.sequence = 100'000;
    message.news_digest = 0x9e3779b97f4a7c15;
    for (unsigned i = 0; i < services; ++i)
        message.loads.push_back({"orderdesk" + std::to_string(i), 40, 500});
    for (unsigned i = 0; i < leaving; ++i)
        message.leaving_endpoints.push_back({address_of(i), incarnation});
    return message;
}

std::string encode(model::heartbeat const& message)
{
    wire::envelope envelope;
    envelope.correlation = 1'000'000;
    envelope.content = peer_link::make_message(peer_link::to_wire(message));
    return *peer_link::encode_frame(envelope);
}

model::heartbeat decode(std::string const& frame)
{
    auto const* const data =
        reinterpret_cast<std::uint8_t const*>(frame.data()) +
        peer_link::frame_header_bytes;
    auto const envelope = peer_link::decode_payload(
        {data, frame.size() - peer_link::frame_header_bytes});
    return *peer_link::from_wire(envelope->content.heartbeat_call);
}

model::membership_view make_view(unsigned peers)
{
    model::membership_view view({address_of(1'000), 1}, "dc0", {},
                                id_retention);
    for (unsigned i = 0; i < peers; ++i)
        view.receive(make_heartbeat(i, 3, 0), start_time());
    return view;
}

double bytes_of_peers(unsigned peers)
{
    auto const before = heap_bytes();
    auto const view = make_view(peers);
    return heap_bytes() - before;
}

/// Time to decode and process one heartbeat and to build and encode its reply.
double microseconds_of_exchange(unsigned peers)
{
    auto view = make_view(peers);
    auto const frame = encode(make_heartbeat(0, 3, 0));
    auto now = start_time();
    auto const taken = processor_microseconds(
        [&]
        {
            for (int i = 0; i < rounds; ++i)
            {
                now += milliseconds(1);
                view.receive(decode(frame), now);
                encode(view.make_response(now));
            }
        });
    return taken / rounds;
}

void measure_frames()
{
    measurement services{"frame of a heartbeat", "bytes", "loads", {}};
    for (unsigned const count : {0U, 1U, 2U, 3U})
    {
        services.samples.push_back(
            {double(count),
             double(encode(make_heartbeat(1, count, 0)).size())});
    }
    print(services);
    measurement leaving{
        "frame of a heartbeat, 3 loads", "bytes", "leaving endpoints", {}};
    for (unsigned const count : {0U, 10U, 40U, 120U})
    {
        leaving.samples.push_back(
            {double(count),
             double(encode(make_heartbeat(1, 3, count)).size())});
    }
    print(leaving);
}

} // namespace

void measure_heartbeats()
{
    measure_frames();
    measurement memory{"peers in membership", "bytes", "peers", {}};
    measurement time{"heartbeat heard and answered", "us", "peers", {}};
    for (unsigned const peers : {8U, 32U, 56U, 128U, 512U})
    {
        memory.samples.push_back({double(peers), bytes_of_peers(peers)});
        time.samples.push_back(
            {double(peers), microseconds_of_exchange(peers)});
    }
    print(memory);
    print(time);
}

} // namespace capacity
