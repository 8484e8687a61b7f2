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

/// What a supervisor knows of a child.
struct child_status
{
    /// Names of the supervisors above and of the child, with '/' between.
    std::string path;
    bool running = false;
    unsigned restarts = 0;
};

/// A node in the tree of a process's loops. Starts its children, and restarts
/// one that ends or throws, after a pause that grows with each failure.
///
/// All members are called on the executor's thread. The tree must live until
/// the executor has run its last handler.
class supervisor
{
public:
    using loop = std::function<boost::asio::awaitable<void>()>;

    supervisor(boost::asio::any_io_executor executor, std::string name);
    ~supervisor();

    supervisor(supervisor const&) = delete;
    supervisor& operator=(supervisor const&) = delete;

    /// Adds a node below this one.
    supervisor& add_supervisor(std::string const& name);

    /// Starts a loop.
    void add(std::string const& name, loop body);

    /// Stops the children, the latest first. They are not restarted.
    void stop();

    /// All loops below this node.
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
