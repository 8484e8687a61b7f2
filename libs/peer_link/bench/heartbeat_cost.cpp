// Measures what heartbeats cost: bytes on the wire, processor time to encode
// and decode, and memory for each known peer. Prints a table.

#include <membership/membership_view.hpp>
#include <peer_link/frame_codec.hpp>
#include <peer_link/heartbeat_conversion.hpp>
#include <peer_link/message_kind.hpp>

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace
{

using namespace masticshift;

namespace model = masticshift::membership;

constexpr int repetitions = 20'000;
constexpr std::int64_t incarnation = 1'796'367'079'957'675;

/// Heartbeats and answers that an entry of 56 in 7 data centres sends in a
/// second, at 11 an interval of 500 ms (see news_spread_test.cpp).
constexpr double messages_per_second = 22;

/// Headers of IPv4 and of TCP with time stamps.
constexpr double header_bytes = 52;

struct load_shape
{
    int services = 1;
    int leaving = 0;
};

std::string address(int i)
{
    return "10.20." + std::to_string(i / 200) + "." +
           std::to_string(10 + i % 200) + ":7000";
}

model::heartbeat make_beat(load_shape shape, int sender)
{
    model::heartbeat beat;
    beat.sender = {address(sender), incarnation + sender};
    beat.data_centre = "ibadan";
    beat.generation = 300;
    beat.revision = 2'000;
    beat.sequence = 100'000;
    beat.news_digest = 0x9e3779b97f4a7c15;
    for (int i = 0; i < shape.services; ++i)
        beat.loads.push_back({"orderdesk" + std::to_string(i), 40, 500});
    for (int i = 0; i < shape.leaving; ++i)
        beat.leaving_endpoints.push_back({address(i), incarnation});
    return beat;
}

std::string encode(model::heartbeat const& beat)
{
    wire::envelope envelope;
    envelope.correlation = 1'000'000;
    envelope.content = peer_link::make_message(peer_link::to_wire(beat));
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

template <class Step>
double microseconds_each(Step step)
{
    auto const began = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i)
        step();
    std::chrono::duration<double, std::micro> const taken =
        std::chrono::steady_clock::now() - began;
    return taken.count() / repetitions;
}

void print_cost(load_shape shape)
{
    auto const beat = make_beat(shape, 1);
    auto const frame = encode(beat);
    std::size_t sink = 0;
    auto const encode_us = microseconds_each(
        [&]
        {
            sink += encode(beat).size();
        });
    auto const decode_us = microseconds_each(
        [&]
        {
            sink += decode(frame).loads.size();
        });
    auto const bytes = static_cast<double>(frame.size());
    std::printf("%8d %8d %12zu %10.2f %10.2f %14.0f %14.0f\n", shape.services,
                shape.leaving, frame.size(), encode_us, decode_us,
                bytes * messages_per_second,
                (bytes + header_bytes) * messages_per_second);
    if (sink == 0)
        std::puts("nothing was encoded");
}

/// Heap bytes of a table of peers that were heard of.
double bytes_for_each_peer(int peers, int services)
{
    auto const before = mallinfo2().uordblks;
    auto const table = std::make_unique<model::peer_table>(
        model::process_id{"10.0.0.1:7000", 1}, "ibadan",
        model::peer_table_settings{});
    for (int i = 0; i < peers; ++i)
        table->heard(make_beat({services, 0}, i), steady_clock::now());
    auto const after = mallinfo2().uordblks;
    return static_cast<double>(after - before) / peers;
}

} // namespace

int main()
{
    std::printf("%8s %8s %12s %10s %10s %14s %14s\n", "services", "leaving",
                "frame_bytes", "encode_us", "decode_us", "bytes_per_s",
                "with_headers");
    for (int const services : {1, 3, 5, 20})
    {
        for (int const leaving : {0, 10})
            print_cost({services, leaving});
    }
    std::printf("%8s %8s %16s\n", "peers", "services", "bytes_per_peer");
    for (int const peers : {8, 56, 512})
    {
        for (int const services : {1, 5, 20})
        {
            std::printf("%8d %8d %16.0f\n", peers, services,
                        bytes_for_each_peer(peers, services));
        }
    }
}
