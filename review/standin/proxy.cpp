#include "proxy.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <mutex>
#include <thread>

namespace review
{

namespace
{

int connect_to(std::uint16_t port)
{
    auto const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0)
        return socket;
    ::close(socket);
    return -1;
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

} // namespace

struct proxy::state
{
    int delay()
    {
        std::lock_guard const lock(mutex);
        return delay_ms ? delay_ms() : 0;
    }

    std::uint16_t target = 0;
    std::mutex mutex;
    delay_source delay_ms;
};

proxy::proxy(std::uint16_t target) : state_(std::make_shared<state>())
{
    state_->target = target;
    auto const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::listen(listener, 128);
    socklen_t size = sizeof(address);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread(
        [listener, shared = state_]
        {
            auto const pump = [shared](int from, int to, bool delayed)
            {
                char bytes[16'384];
                for (;;)
                {
                    auto const count = ::recv(from, bytes, sizeof(bytes), 0);
                    auto const wait = delayed ? shared->delay() : 0;
                    if (wait > 0)
                        std::this_thread::sleep_for(
                            std::chrono::milliseconds(wait));
                    if (count <= 0)
                        break;
                    send_all(to, bytes, static_cast<std::size_t>(count));
                }
                ::shutdown(to, SHUT_WR);
                ::shutdown(from, SHUT_RD);
            };
            for (;;)
            {
                auto const accepted =
                    ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    continue;
                std::thread(
                    [accepted, shared, pump]
                    {
                        auto const other = connect_to(shared->target);
                        if (other < 0)
                        {
                            linger const reset{1, 0};
                            ::setsockopt(accepted, SOL_SOCKET, SO_LINGER,
                                         &reset, sizeof(reset));
                            ::close(accepted);
                            return;
                        }
                        int const on = 1;
                        for (auto const socket : {accepted, other})
                            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on,
                                         sizeof(on));
                        std::thread back(pump, other, accepted, false);
                        pump(accepted, other, true);
                        back.join();
                        ::close(accepted);
                        ::close(other);
                    })
                    .detach();
            }
        })
        .detach();
}

std::uint16_t proxy::port() const
{
    return port_;
}

void proxy::set_delay(delay_source delay_ms)
{
    std::lock_guard const lock(state_->mutex);
    state_->delay_ms = std::move(delay_ms);
}

} // namespace review
