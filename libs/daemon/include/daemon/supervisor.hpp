#ifndef MASTICSHIFT_DAEMON_SUPERVISOR_HPP
#define MASTICSHIFT_DAEMON_SUPERVISOR_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticshift::daemon
{

/// Status of a supervised loop.
struct child_status
{
    /// Names of the enclosing supervisors and of the child, separated by '/'.
    std::string path;
    bool running = false;
    unsigned restarts = 0;
};

/// A node in the supervision tree of a process. Starts its child loops, and
/// restarts one that returns or throws, after a back-off that grows with each
/// failure.
///
/// All members must be called on the executor's thread. The tree must live
/// until the executor has run its last handler.
class supervisor
{
public:
    using loop = std::function<boost::asio::awaitable<void>()>;

    supervisor(boost::asio::any_io_executor executor, std::string name);
    ~supervisor();

    supervisor(supervisor const&) = delete;
    supervisor& operator=(supervisor const&) = delete;

    /// Adds a child supervisor.
    supervisor& add_supervisor(std::string const& name);

    /// Adds a child loop and starts it.
    void add(std::string const& name, loop body);

    /// Stops the children in reverse order of their start. They are not
    /// restarted.
    void stop();

    /// Status of all loops of this node and of the nodes below it.
    std::vector<child_status> status() const;

private:
    struct child;

    static boost::asio::awaitable<void>
    run(boost::asio::any_io_executor executor, std::shared_ptr<child> started);

    boost::asio::any_io_executor executor_;
    std::string path_;
    std::vector<std::unique_ptr<supervisor>> supervisors_;
    std::vector<std::shared_ptr<child>> children_;
};

} // namespace masticshift::daemon

#endif
