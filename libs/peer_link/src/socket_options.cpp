#include "socket_options.hpp"

#include <netinet/tcp.h>

namespace masticshift::peer_link
{

void set_link_options(boost::asio::ip::tcp::socket& socket,
                      milliseconds unacknowledged)
{
    using user_timeout =
        boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                    TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(user_timeout(static_cast<int>(unacknowledged.count())),
                      ignored);
}

} // namespace masticshift::peer_link
