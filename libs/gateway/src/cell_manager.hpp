#ifndef MASTICSHIFT_GATEWAY_CELL_MANAGER_HPP
#define MASTICSHIFT_GATEWAY_CELL_MANAGER_HPP

#include "cell_runner.hpp"

#include <dispatch/submission_guard.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace masticshift::gateway
{

/// Takes over cells, dispatches them and hands them over.
class cell_manager
{
public:
    cell_manager(gateway_state& state, transport::http_client& endpoints,
                 peer_link::peer_client& peers)
        : state_(state), endpoints_(endpoints), peers_(peers)
    {
    }

    asio::awaitable<void> run();

    /// `function` is called when newer records of the endpoints are needed at
    /// once: a cell was taken over, or an endpoint has restarted.
    void on_records_needed(std::function<void()> function)
    {
        on_records_needed_ = std::move(function);
    }

    /// `function` is called when other entries should learn the claims of this
    /// one at once.
    void on_claims_changed(std::function<void()> function)
    {
        on_claims_changed_ = std::move(function);
    }

    /// Dispatches a job in a cell and waits until it has ended. The job was not
    /// sent before `sent_after`.
    asio::awaitable<dispatch::job_result>
    run_job(std::string const& cell, dispatch::job_spec job,
            dispatch::entry_identity const& origin, time_point sent_after);

    /// Withdraws this submission of a job and earlier ones by the same origin.
    /// Those that arrive later are refused.
    void withdraw(std::string const& cell, std::string const& id,
                  dispatch::entry_identity const& origin,
                  std::int64_t submission);

    /// Ends a job that its caller has cancelled, in whichever cell it is, and
    /// refuses it from then on. Returns whether it was known.
    bool cancel(std::string const& id, time_point requested, time_point now);

    void accept_released(std::string const& cell,
                         std::vector<std::string> const& endpoints, bool last);

    /// Ends all jobs and stops dispatching all cells at once.
    void stop(time_point now);

    asio::any_io_executor const& executor() const
    {
        return executor_;
    }

    std::map<std::string, std::shared_ptr<cell_runner>> const& cells() const
    {
        return cells_;
    }

    bool active() const
    {
        return !cells_.empty();
    }

private:
    void apply_registry_changes(time_point now);
    void update_layout(bool endpoints_changed, time_point now);
    void log_ended_peers(time_point now);
    void update_roles(time_point now);
    void take_over(dispatch::cell const& cell, time_point now);
    /// Logs whether the list of evacuated data centres may be relied on, when
    /// that has changed.
    void log_evacuations_read(time_point now);
    /// Tells a cell what it may start now.
    void limit_starts(cell_runner& cell, time_point now) const;
    /// Calls an endpoint of a cell of another data centre and records whether
    /// it responded, on which depends whether this entry claims the cell.
    static asio::awaitable<void> probe(cell_manager& self, dispatch::cell cell);
    std::optional<dispatch::endpoint_record>
    next_endpoint_to_probe(std::string const& cell);
    /// Asks for newer records if a cell needs them.
    void request_records(time_point now);
    void update_claims();
    void announce_claims();
    void update_metrics(time_point now);
    /// Records which phases of the recovery are reached, and reports its end.
    void observe_recovery(time_point now);

    gateway_state& state_;
    transport::http_client& endpoints_;
    peer_link::peer_client& peers_;
    asio::any_io_executor executor_;
    dispatch::cell_layout layout_;
    dispatch::cell_counts cell_counts_;
    /// All known endpoints, by id.
    std::map<std::string, dispatch::endpoint_record> records_;
    /// Until when starts may be ordered by them. Set together with them.
    time_point records_usable_until_ = time_point::max();
    bool evacuations_read_ = false;
    std::map<std::string, std::shared_ptr<cell_runner>> cells_;
    dispatch::submission_guard submissions_;
    /// Cells that are being probed.
    std::set<std::string> probing_;
    std::size_t probe_turn_ = 0;
    /// Number of the first endpoint that is probed; the next one after each
    /// probe without a response.
    std::size_t first_probed_ = 0;
    time_point ended_peers_taken_{};
    time_point records_requested_{};
    std::function<void()> on_records_needed_;
    std::function<void()> on_claims_changed_;
};

} // namespace masticshift::gateway

#endif
