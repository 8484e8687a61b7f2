#ifndef REVIEW_STANDIN_PROXY_HPP
#define REVIEW_STANDIN_PROXY_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace review
{

/// A link to a process on loopback, which can be cut for callers of some names.
///
/// A cut is silent and behaves as one below TCP: bytes that are sent in it
/// arrive with a retransmission after its end, 200 or 600 ms after the first of
/// them was sent (RFC 6298 with the usual least timeout of 200 ms), or never.
/// Channels that are opened in it never carry anything.
class proxy
{
public:
    /// Names the process that has opened a connection from this port.
    using caller_namer = std::function<std::string(std::uint16_t)>;
    using caller_filter = std::function<bool(std::string const&)>;

    explicit proxy(std::uint16_t target);

    std::uint16_t port() const;
    void name_callers(caller_namer namer);
    void cut(int length_ms, caller_filter concerns);

private:
    struct state;

    static void accept_all(int listener, std::shared_ptr<state> shared);
    static void relay(std::shared_ptr<state> const& shared, int accepted);
    static void pump(state& shared, std::string const& caller, int from,
                     int to);

    std::shared_ptr<state> state_;
    std::uint16_t port_ = 0;
};

} // namespace review

#endif
