#include "fleet.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::placement
{

namespace
{

std::string address_of(config::endpoint_config const& config)
{
    return config.ip + ":" + std::to_string(config.port);
}

bool meets_needs(config::endpoint_config const& endpoint,
                 config::service_config const& service)
{
    return endpoint.accelerators >= service.needs_accelerators &&
           endpoint.memory_mb >= service.needs_memory_mb;
}

bool same_location(config::endpoint_config const& a,
                   config::endpoint_config const& b)
{
    return a.ip == b.ip && a.port == b.port && a.data_centre == b.data_centre;
}

} // namespace

fleet::fleet(engine_settings const& settings, job_order order)
    : settings_(settings), order_(order)
{
}

void fleet::configure(config::operator_configuration const& text,
                      time_point now)
{
    for (auto& endpoint : endpoints_)
    {
        if (endpoint)
            endpoint->configured = false;
    }
    for (auto const& row : text.endpoints)
        configure_endpoint(row.second);
    for (auto& service : services_)
    {
        if (!text.services.contains(service->config.name))
            service->retired = true;
    }
    for (auto const& row : text.services)
        configure_service(row.second, now);
    drop_unused_services();
    drop_unused_endpoints();
    refresh_all(now);
}

void fleet::configure_endpoint(config::endpoint_config const& config)
{
    auto* known = find_endpoint(config.name);
    if (known != nullptr && !same_location(known->config, config))
    {
        index_.detach(config.name);
        known = nullptr;
    }
    auto const id = index_.intern(config.name);
    if (id >= endpoints_.size())
        endpoints_.resize(id + 1);
    if (known == nullptr)
        endpoints_[id] = std::make_unique<endpoint_state>();
    auto& endpoint = *endpoints_[id];
    endpoint.config = config;
    endpoint.id = id;
    endpoint.address = address_of(config);
    endpoint.configured = true;
    endpoint.leaving = leaving_.contains(endpoint.address);
    // Slots beyond a lowered number stay, as tasks may still run on them; no
    // new task starts there.
    if (endpoint.slots.size() < config.slots)
        endpoint.slots.resize(config.slots);
    assign_owners(endpoint);
}

void fleet::configure_service(config::service_config const& config,
                              time_point now)
{
    auto const endpoints = endpoints_for(config);
    auto* known = find(config.name);
    if (known != nullptr && std::ranges::equal(known->members, endpoints, {},
                                               &member_state::endpoint))
    {
        known->config = config;
        return;
    }
    auto made =
        std::make_unique<service_state>(config, endpoints, order_, settings_);
    if (known != nullptr)
    {
        made->inherit(*known);
        known->retired = true;
    }
    std::uint32_t member = 0;
    for (auto* endpoint : endpoints)
        endpoint->memberships.push_back({made.get(), member++});
    made->reorder(now);
    services_.push_back(std::move(made));
}

std::vector<endpoint_state*>
fleet::endpoints_for(config::service_config const& config) const
{
    std::vector<endpoint_state*> result;
    for (auto const& name : config.endpoints)
    {
        auto* endpoint = find_endpoint(name);
        if (endpoint == nullptr || !meets_needs(endpoint->config, config))
            continue;
        if (std::ranges::find(result, endpoint) == result.end())
            result.push_back(endpoint);
    }
    return result;
}

void fleet::drop_if_unused(service_state& service)
{
    if (!service.retired || service.jobs > 0)
        return;
    drop_unused_services();
    drop_unused_endpoints();
}

void fleet::drop_unused_services()
{
    auto const unused = [](service_state const& service)
    {
        return service.retired && service.jobs == 0;
    };
    for (auto& endpoint : endpoints_)
    {
        if (endpoint)
            std::erase_if(endpoint->memberships,
                          [&](membership const& item)
                          {
                              return unused(*item.service);
                          });
    }
    std::erase_if(services_,
                  [&](auto const& service)
                  {
                      return unused(*service);
                  });
}

void fleet::drop_unused_endpoints()
{
    for (auto& endpoint : endpoints_)
    {
        if (!endpoint || endpoint->configured || !endpoint->memberships.empty())
            continue;
        index_.release(endpoint->id);
        endpoint.reset();
    }
}

void fleet::set_entries(std::vector<entry_share> entries, time_point now)
{
    if (!ownership_.set_entries(std::move(entries)))
        return;
    for (auto& endpoint : endpoints_)
    {
        if (endpoint)
            assign_owners(*endpoint);
    }
    refresh_all(now);
}

void fleet::assign_owners(endpoint_state& endpoint)
{
    for (unsigned i = 0; i < endpoint.slots.size(); ++i)
    {
        auto& slot = endpoint.slots[i];
        auto const owner = ownership_.owner(endpoint.config.name,
                                            endpoint.config.data_centre, i);
        slot.owned = owner == settings_.address;
        if (slot.owned)
            slot.borrowed = false;
        else
            slot.lent = false;
    }
}

void fleet::set_leaving(std::vector<std::string> const& addresses,
                        time_point now)
{
    std::set<std::string, std::less<>> leaving(addresses.begin(),
                                               addresses.end());
    if (leaving == leaving_)
        return;
    leaving_ = std::move(leaving);
    for (auto& endpoint : endpoints_)
    {
        if (endpoint)
            endpoint->leaving = leaving_.contains(endpoint->address);
    }
    refresh_all(now);
}

void fleet::refresh_all(time_point now)
{
    for (auto& endpoint : endpoints_)
    {
        if (endpoint)
            refresh(*endpoint, now);
    }
    for (auto& service : services_)
        service->update_capacity();
}

void fleet::refresh(endpoint_state& endpoint, time_point now)
{
    auto next = endpoint.expire(now);
    for (auto const& item : endpoint.memberships)
    {
        item.service->refresh(item.member, now);
        auto const& health = item.service->members[item.member].health;
        if (auto const at = health.wake_time(now))
            next = std::min(next, *at);
    }
    schedule(endpoint, next);
}

void fleet::schedule(endpoint_state& endpoint, time_point at)
{
    // An earlier wake-up suffices: the refresh then schedules the next one.
    if (at >= endpoint.wake)
        return;
    endpoint.wake = at;
    wake_ups_.push({at, endpoint.id});
}

void fleet::wake(time_point now)
{
    while (!wake_ups_.empty() && wake_ups_.top().at <= now)
    {
        auto const due = wake_ups_.top();
        wake_ups_.pop();
        auto* endpoint = this->endpoint(due.id);
        if (endpoint == nullptr || endpoint->wake != due.at)
            continue;
        endpoint->wake = time_point::max();
        refresh(*endpoint, now);
    }
}

std::optional<time_point> fleet::next_wake() const
{
    if (wake_ups_.empty())
        return std::nullopt;
    return wake_ups_.top().at;
}

service_state* fleet::find(std::string_view name) const
{
    for (auto const& service : services_)
    {
        if (!service->retired && service->config.name == name)
            return service.get();
    }
    return nullptr;
}

endpoint_state* fleet::find_endpoint(std::string_view name) const
{
    auto const id = index_.find(name);
    return id ? endpoints_[*id].get() : nullptr;
}

} // namespace masticshift::placement
