#ifndef MASTICSHIFT_TEST_SUPPORT_GATEWAY_STANDIN_HPP
#define MASTICSHIFT_TEST_SUPPORT_GATEWAY_STANDIN_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>
#include <test_support/endpoint_model.hpp>
#include <transport/http_server.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace masticshift::test_support
{

/// A draining endpoint must get no new work later than this after its report.
inline constexpr milliseconds drain_limit{2'000};

/// Nothing may start in an evacuated data centre later than this after the row
/// was written, or was readable again after an outage of the store.
inline constexpr milliseconds evacuation_limit{5'000};

/// Faults of the store and the endpoints.
struct platform_faults
{
    /// The store responds with 503, or not at all.
    bool store_down = false;
    bool store_silent = false;
    /// The store no longer holds its earlier changes, so that the next watch
    /// call fails.
    bool history_gone = false;
    /// The store returns at most this many changes in one response, the oldest
    /// first.
    std::size_t changes_per_response = 500;
    /// The next reads of the whole table of endpoints get no response, this
    /// many of them.
    int unanswered_table_reads = 0;
    milliseconds store_delay{0};
    /// Percentage of the start and stop orders that are carried out but get no
    /// response, and percentage of these that are carried out with a delay of
    /// up to 4 s.
    int lost_orders = 0;
    int late_orders = 0;
    /// Percentage of the start and stop orders that are carried out and get a
    /// response of 500, 502 or 504, or of another status without a meaning.
    int odd_statuses = 0;
    /// Percentage of the lists that have all their runs in progress in rows
    /// that can't be read.
    int odd_lists = 0;
    /// Percentage of the runs that end as failed.
    int failed_runs = 0;
    /// Endpoints that do not respond to any call.
    std::set<std::string> silent_endpoints;
    /// Endpoints whose start and stop orders are held up, half of them. They
    /// are carried out up to 2 s after the end of the fault, without a
    /// response, also by the next process under the id.
    std::set<std::string> held_endpoints;
};

/// What the stand-in has observed.
struct platform_findings
{
    std::size_t starts = 0;
    std::size_t done = 0;
    /// Tasks that had two runs at the same time, which must not happen.
    std::vector<std::string> concurrent_runs;
    /// Tasks started on an endpoint later than `drain_limit` after the store
    /// has accepted its report that it drains.
    std::vector<std::string> late_starts;
    /// Tasks started in an evacuated data centre later than `evacuation_limit`
    /// after the write.
    std::vector<std::string> evacuated_starts;
    std::size_t evacuations = 0;
    /// By data centre.
    std::map<std::string, std::size_t> starts_in;
    /// Tasks whose start arrived at a process of an endpoint that had not
    /// answered a list before: its sender can't have known the process.
    std::vector<std::string> unlisted_starts;
    /// Endpoints that had not answered a list since their last restart and got
    /// one that renews leases or acknowledges ends.
    std::vector<std::string> unlisted_renewals;
    /// Ids of all jobs of which a task was started.
    std::set<std::string> started_jobs;
    /// Endpoint of the last start.
    std::string last_started_on;
    /// Start orders that an endpoint rejected because they did not fit.
    std::size_t rejected_for_room = 0;
};

/// The request with which a caller submits a job of equal tasks to the queue of
/// the stand-in. `timeout` is the caller's.
transport::http_request make_job_request(std::string const& id, int tasks,
                                         milliseconds timeout);

/// Stand-in of the platform's store and endpoints, as far as a gateway uses
/// them, over HTTP on loopback. It implements the published protocol without
/// the code of libs/platform, so that a fault there is not repeated here.
class gateway_standin
{
public:
    explicit gateway_standin(boost::asio::any_io_executor executor,
                             unsigned seed = 1);
    ~gateway_standin();

    gateway_standin(gateway_standin const&) = delete;
    gateway_standin& operator=(gateway_standin const&) = delete;

    /// Starts the store on a free port of 127.0.0.1, or on the given one.
    outcome<void> start_store(std::uint16_t port = 0);
    std::uint16_t store_port() const;

    /// Starts an endpoint that registers itself. Run times are divided by
    /// `speed`. Its clock advances by `clock_rate` seconds per second.
    outcome<void> add_endpoint(std::string const& id,
                               std::string const& data_centre, double speed,
                               double clock_rate = 1);

    /// Where the endpoint listens.
    std::uint16_t endpoint_port(std::string const& id) const;

    /// Makes the endpoint register this address, for example a relay's.
    void publish_address(std::string const& id, std::string const& address);

    /// Makes the endpoint report that it drains.
    void drain_endpoint(std::string const& id);

    /// Writes this many rows that describe no endpoint to the table of
    /// endpoints, one after the other.
    void write_other_rows(int count);

    /// Address and port of an endpoint.
    std::string endpoint_address(std::string const& id) const;

    /// Writes the row of an endpoint as another writer would, with any bytes.
    void write_endpoint_row(std::string const& id, std::string value);

    /// Simulates a crash of the endpoint and a restart under its id, which
    /// loses all state.
    void restart_endpoint(std::string const& id);

    /// The same, as an endpoint with these labels and this capacity, in
    /// thousandths of a core.
    void restart_endpoint_as(std::string const& id,
                             std::vector<std::string> labels,
                             std::int64_t processor);

    /// Writes the configuration with one queue, `/q/` at host `jobs.example`.
    void configure(std::int64_t version, milliseconds run_time);

    /// Writes the row that evacuates a data centre, or removes it.
    void evacuate(std::string const& data_centre);
    void end_evacuation(std::string const& data_centre);

    /// Writes a row of the table that holds the configuration.
    void write_operator_row(std::string const& key, std::string value);

    platform_faults& faults();
    platform_findings const& findings() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace masticshift::test_support

#endif
