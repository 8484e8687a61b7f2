#ifndef MASTICSHIFT_PLACEMENT_FLEET_HPP
#define MASTICSHIFT_PLACEMENT_FLEET_HPP

#include "endpoint_state.hpp"
#include "service_state.hpp"

#include <placement/endpoint_index.hpp>
#include <placement/engine_settings.hpp>
#include <placement/slot_ownership.hpp>

#include <config/operator_configuration.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

/// All endpoints and services, with the timers that update them when a loan, a
/// pause or an ejection ends.
class fleet
{
public:
    fleet(engine_settings const& settings, job_order order);

    void configure(config::operator_configuration const& text, time_point now);
    void set_entries(std::vector<entry_share> entries, time_point now);
    void set_leaving(std::vector<std::string> const& addresses, time_point now);

    /// Refreshes the endpoints whose timers are due.
    void wake(time_point now);
    std::optional<time_point> next_wake() const;

    /// Recomputes where tasks may start at an endpoint, and when to refresh it
    /// again. To be called after any change to an endpoint or its health.
    void refresh(endpoint_state& endpoint, time_point now);

    /// The service with this name in the present configuration, or null.
    service_state* find(std::string_view name) const;
    /// The endpoint with this name, or null.
    endpoint_state* find_endpoint(std::string_view name) const;
    /// The endpoint with this id, or null when it was removed.
    endpoint_state* endpoint(endpoint_id id) const
    {
        return id < endpoints_.size() ? endpoints_[id].get() : nullptr;
    }

    /// Removes the service if it is retired and has no jobs, and endpoints that
    /// are then unused.
    void drop_if_unused(service_state& service);

    /// All services, including retired ones.
    std::vector<std::unique_ptr<service_state>> const& services() const
    {
        return services_;
    }

private:
    struct wake_up
    {
        time_point at;
        endpoint_id id = 0;

        friend bool operator>(wake_up const& a, wake_up const& b)
        {
            return a.at > b.at;
        }
    };

    void configure_endpoint(config::endpoint_config const& config);
    void configure_service(config::service_config const& config,
                           time_point now);
    std::vector<endpoint_state*>
    endpoints_for(config::service_config const& config) const;
    void drop_unused_services();
    void drop_unused_endpoints();
    void assign_owners(endpoint_state& endpoint);
    void refresh_all(time_point now);
    void schedule(endpoint_state& endpoint, time_point at);

    engine_settings const& settings_;
    job_order order_;
    endpoint_index index_;
    slot_ownership ownership_;
    std::vector<std::unique_ptr<endpoint_state>> endpoints_;
    std::vector<std::unique_ptr<service_state>> services_;
    std::set<std::string, std::less<>> leaving_;
    std::priority_queue<wake_up, std::vector<wake_up>, std::greater<>>
        wake_ups_;
};

} // namespace masticshift::placement

#endif
