#ifndef MASTICSHIFT_PEER_LINK_SOCKET_OPTIONS_HPP
#define MASTICSHIFT_PEER_LINK_SOCKET_OPTIONS_HPP

#include <core/time.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace masticshift::peer_link
{

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT to `unacknowledged`. Errors are
/// ignored: a socket that has already failed reports it at its next use.
void set_link_options(boost::asio::ip::tcp::socket& socket,
                      milliseconds unacknowledged);

} // namespace masticshift::peer_link

#endif
