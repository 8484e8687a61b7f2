#ifndef MASTICSHIFT_TEST_SUPPORT_RESERVED_PORT_HPP
#define MASTICSHIFT_TEST_SUPPORT_RESERVED_PORT_HPP

#include <config/daemon_settings.hpp>

namespace masticshift::test_support
{

inline constexpr auto loopback = "127.0.0.1";

/// A free port from the kernel. It stays bound, without listening, so that the
/// kernel gives it to nobody else. A server that sets `SO_REUSEADDR` can listen
/// on it, also again after its process was killed.
class reserved_port
{
public:
    /// Throws `std::system_error` if the kernel has no free port.
    reserved_port();
    ~reserved_port();

    reserved_port(reserved_port&& other) noexcept;
    reserved_port& operator=(reserved_port&& other) noexcept;

    config::socket_address address() const;

private:
    int socket_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace masticshift::test_support

#endif
