#ifndef MASTICSHIFT_PEER_LINK_PEER_SESSION_HPP
#define MASTICSHIFT_PEER_LINK_PEER_SESSION_HPP

#include "frame_stream.hpp"

#include <peer_link/peer_server.hpp>

#include <cstdint>
#include <memory>
#include <string_view>

namespace masticshift::peer_link
{

/// State shared by all sessions of one server. Calls that are being handled
/// keep it, and thus the handler, alive after the server is destroyed.
struct server_context
{
    peer_server_limits limits;
    peer_handler handler;
    peer_link::traffic traffic;
};

/// A connection from a peer, with its calls that are being handled.
class peer_session
{
public:
    peer_session(boost::asio::ip::tcp::socket socket,
                 std::shared_ptr<server_context> context);

    /// Serves calls until the connection ends.
    static boost::asio::awaitable<void> run(std::shared_ptr<peer_session> self);

    /// Closes the connection when it was idle for too long, or when reading a
    /// frame or writing responses takes too long.
    void check(time_point now);

    void close(std::string_view reason);
    bool closed() const;
    /// Calls whose handlers are running or whose responses are not written yet.
    std::size_t calls() const;

private:
    static boost::asio::awaitable<void>
    write(std::shared_ptr<peer_session> self);
    static boost::asio::awaitable<void>
    handle(std::shared_ptr<peer_session> self, incoming_frame frame);
    static void accept(std::shared_ptr<peer_session> const& self,
                       incoming_frame frame);

    bool overloaded() const;
    void answer(std::int64_t correlation, wire::message content);
    void close_with_error(failure const& error);

    frame_stream stream_;
    std::shared_ptr<server_context> context_;
    /// Calls whose handlers are running, and the size of their frames.
    std::size_t running_calls_ = 0;
    std::size_t running_bytes_ = 0;
};

} // namespace masticshift::peer_link

#endif
