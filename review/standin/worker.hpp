#ifndef REVIEW_STANDIN_WORKER_HPP
#define REVIEW_STANDIN_WORKER_HPP

#include "http.hpp"
#include "record.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace review
{

struct worker_settings
{
    std::string id;
    std::string zone;
    std::string kind = "a";
    std::int64_t cpu = 16'000;
    /// How long a stop takes.
    int stop_ms = 10;
};

/// A sound worker as PROTOCOL.md describes it, which guards its capacity and
/// runs tasks for as many milliseconds as their `spec` says. A run, an order
/// and a lease change only in `mutex_`.
class worker
{
public:
    worker(worker_settings settings, record& events);

    /// Its entry in the store, with the next `seq`.
    std::string next_entry();
    std::uint16_t port() const;
    /// Ends what is over; called every millisecond.
    void tick();

    /// Ends the process and everything that runs there. It starts again under
    /// its id and at its address after this time, as a worker of this kind.
    void crash(int down_ms, std::string const& kind);
    bool is_down() const;

private:
    struct run
    {
        std::int64_t number = 0;
        std::int64_t cpu = 0;
        std::int64_t begun = 0;
        std::int64_t length = 0;
        /// When a stop takes effect; negative if it isn't being stopped.
        std::int64_t stops = -1;
        std::size_t index = 0;
    };

    std::optional<http_response> handle(http_request const& request);
    http_response start(boost::json::object const& body);
    http_response stop(boost::json::object const& body);
    http_response hold(boost::json::object const& body);
    http_response refuse(char const* reason) const;
    std::int64_t clock() const;
    void extend_lease(boost::json::object const& body);
    void end_due();
    void end(std::map<std::string, run>::iterator place, char const* how);
    boost::json::object list() const;

    worker_settings settings_;
    record& events_;
    std::chrono::steady_clock::time_point started_;
    std::int64_t born_ = 0;
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable ended_condition_;
    std::int64_t token_ = 0;
    std::int64_t lease_until_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t next_end_ = 1;
    std::map<std::string, run> running_;
    std::map<std::string, std::int64_t> last_ended_;
    boost::json::array ends_;
};

} // namespace review

#endif
