#include <test_support/reserved_port.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <system_error>
#include <utility>

namespace masticshift::test_support
{

namespace
{

[[noreturn]] void fail()
{
    throw std::system_error(errno, std::generic_category(), "reserved_port");
}

} // namespace

reserved_port::reserved_port()
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    int const on = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* const any = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof address;
    // The option is set after the bind: without it the kernel chooses a port
    // that no other socket is bound to, not even one with the option.
    if (socket_ < 0 || bind(socket_, any, length) != 0 ||
        setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        getsockname(socket_, any, &length) != 0)
        fail();
    port_ = ntohs(address.sin_port);
}

reserved_port::~reserved_port()
{
    if (socket_ >= 0)
        close(socket_);
}

reserved_port::reserved_port(reserved_port&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), port_(other.port_)
{
}

reserved_port& reserved_port::operator=(reserved_port&& other) noexcept
{
    std::swap(socket_, other.socket_);
    std::swap(port_, other.port_);
    return *this;
}

config::socket_address reserved_port::address() const
{
    return {loopback, port_};
}

} // namespace masticshift::test_support
