#ifndef MASTICSHIFT_GATEWAY_CALLER_WATCH_HPP
#define MASTICSHIFT_GATEWAY_CALLER_WATCH_HPP

#include <core/time.hpp>
#include <dispatch/resubmission_bounds.hpp>
#include <transport/http_message.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

namespace masticshift::gateway
{

/// The callers that wait for an answer.
///
/// The end of a caller's connection is read in the order of the event loop. If
/// the loop is late, this entry would say that a job is wanted whose caller has
/// gone.
class caller_watch
{
public:
    using caller_ptr = std::weak_ptr<transport::disconnect_notifier>;

    void add(caller_ptr caller)
    {
        if (callers_.size() >= prune_at_)
        {
            drop_answered();
            prune_at_ = std::max(least_prune, 2 * callers_.size());
        }
        callers_.push_back(std::move(caller));
    }

    /// To be called before this entry says or assumes that its jobs are wanted.
    /// `late`: by how much the event loop was late.
    void ask_if_late(duration late, time_point now)
    {
        if (late <= dispatch::longest_loop_delay ||
            now - asked_ <= dispatch::longest_loop_delay)
            return;
        asked_ = now;
        drop_answered();
        auto const all = callers_;
        for (auto const& each : all)
        {
            auto const caller = each.lock();
            if (caller && caller->has_ended())
                caller->notify_disconnected();
        }
    }

private:
    static constexpr std::size_t least_prune = 64;

    void drop_answered()
    {
        std::erase_if(callers_,
                      [](caller_ptr const& caller)
                      {
                          return caller.expired();
                      });
    }

    std::vector<caller_ptr> callers_;
    std::size_t prune_at_ = least_prune;
    time_point asked_{};
};

} // namespace masticshift::gateway

#endif
