#ifndef REVIEW_STANDIN_PROXY_HPP
#define REVIEW_STANDIN_PROXY_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace review
{

/// A link between two processes on loopback. Bytes of one direction keep their
/// order; each read is passed on after the delay that `delay_ms` returns for
/// it.
class proxy
{
public:
    using delay_source = std::function<int()>;

    explicit proxy(std::uint16_t target);

    std::uint16_t port() const;
    /// The delay of bytes towards the target, from now on.
    void set_delay(delay_source delay_ms);

private:
    struct state;
    std::shared_ptr<state> state_;
    std::uint16_t port_ = 0;
};

} // namespace review

#endif
