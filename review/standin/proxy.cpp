#include "proxy.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>

namespace review
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// When bytes are sent again, after they were sent first. The entries give a
/// connection up (TCP_USER_TIMEOUT) before the third time, after 1,000 ms.
constexpr int retransmissions_ms[] = {200, 600};

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int connect_to(std::uint16_t port)
{
    auto const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = loopback(port);
    if (::connect(socket, reinterpret_cast<sockaddr const*>(&address),
                  sizeof(address)) == 0)
        return socket;
    ::close(socket);
    return -1;
}

void send_at_once(int socket)
{
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void send_all(int socket, char const* bytes, std::size_t size)
{
    while (size > 0)
    {
        auto const sent = ::send(socket, bytes, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        bytes += sent;
        size -= static_cast<std::size_t>(sent);
    }
}

void close_with_reset(int socket)
{
    linger const reset{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::close(socket);
}

void discard_until_closed(int socket)
{
    char bytes[4'096];
    while (::recv(socket, bytes, sizeof(bytes), 0) > 0)
    {
    }
}

} // namespace

struct proxy::state
{
    /// When bytes arrive that are sent by the caller, or to it, at this time;
    /// nothing if they are lost.
    std::optional<steady_clock::time_point>
    arrival(std::string const& caller, steady_clock::time_point sent)
    {
        std::lock_guard const lock(mutex);
        if (sent >= cut_end || !concerns || !concerns(caller))
            return sent;
        for (auto const wait : retransmissions_ms)
        {
            if (sent + milliseconds(wait) >= cut_end)
                return sent + milliseconds(wait);
        }
        return std::nullopt;
    }

    std::string name_of(std::uint16_t port)
    {
        caller_namer known;
        {
            std::lock_guard const lock(mutex);
            known = namer;
        }
        return known ? known(port) : std::string();
    }

    std::uint16_t target = 0;
    std::mutex mutex;
    steady_clock::time_point cut_end;
    caller_filter concerns;
    caller_namer namer;
};

proxy::proxy(std::uint16_t target) : state_(std::make_shared<state>())
{
    state_->target = target;
    auto const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(listener, 128) != 0)
        throw std::runtime_error("no port for a proxy");
    socklen_t size = sizeof(address);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread(accept_all, listener, state_).detach();
}

std::uint16_t proxy::port() const
{
    return port_;
}

void proxy::name_callers(caller_namer namer)
{
    std::lock_guard const lock(state_->mutex);
    state_->namer = std::move(namer);
}

void proxy::cut(int length_ms, caller_filter concerns)
{
    std::lock_guard const lock(state_->mutex);
    state_->cut_end = steady_clock::now() + milliseconds(length_ms);
    state_->concerns = std::move(concerns);
}

void proxy::accept_all(int listener, std::shared_ptr<state> shared)
{
    for (;;)
    {
        auto const accepted =
            ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0)
            std::thread(relay, shared, accepted).detach();
    }
}

void proxy::relay(std::shared_ptr<state> const& shared, int accepted)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getpeername(accepted, reinterpret_cast<sockaddr*>(&address), &size);
    auto const caller = shared->name_of(ntohs(address.sin_port));
    auto const now = steady_clock::now();
    if (shared->arrival(caller, now) != now)
    {
        discard_until_closed(accepted);
        ::close(accepted);
        return;
    }
    auto const target = connect_to(shared->target);
    if (target < 0)
    {
        close_with_reset(accepted);
        return;
    }
    send_at_once(accepted);
    send_at_once(target);
    std::thread back(
        [shared, caller, target, accepted]
        {
            pump(*shared, caller, target, accepted);
        });
    pump(*shared, caller, accepted, target);
    back.join();
    ::close(accepted);
    ::close(target);
}

void proxy::pump(state& shared, std::string const& caller, int from, int to)
{
    char bytes[16'384];
    for (;;)
    {
        auto const count = ::recv(from, bytes, sizeof(bytes), 0);
        auto const arrival = shared.arrival(caller, steady_clock::now());
        if (!arrival)
        {
            discard_until_closed(from);
            break;
        }
        std::this_thread::sleep_until(*arrival);
        if (count <= 0)
            break;
        send_all(to, bytes, static_cast<std::size_t>(count));
    }
    ::shutdown(to, SHUT_WR);
    ::shutdown(from, SHUT_RD);
}

} // namespace review
