#ifndef MASTICSHIFT_PEER_LINK_TRAFFIC_HPP
#define MASTICSHIFT_PEER_LINK_TRAFFIC_HPP

#include <peer_link/message_kind.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace masticshift::peer_link
{

/// Number of messages of one kind and total size of their frames.
struct message_count
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Message counts of one direction, by kind.
class message_counts
{
public:
    message_count const& operator[](message_kind kind) const
    {
        return counts_[static_cast<std::size_t>(kind)];
    }

    void add(message_kind kind, std::size_t bytes)
    {
        auto& count = counts_[static_cast<std::size_t>(kind)];
        ++count.messages;
        count.bytes += bytes;
    }

private:
    std::array<message_count, message_kind_count> counts_{};
};

/// Traffic over all connections of a client or a server.
struct traffic
{
    message_counts sent;
    message_counts received;
    std::uint64_t connections_opened = 0;
    /// Connections closed because the peer violated the protocol, for example
    /// with a malformed frame.
    std::uint64_t protocol_errors = 0;
    /// Connections closed because nothing was received for too long while calls
    /// were in flight. Only a client counts them.
    std::uint64_t timed_out_connections = 0;
};

} // namespace masticshift::peer_link

#endif
