// The public members of `dispatcher`, which pass their calls on.

#include <dispatch/dispatcher.hpp>

#include "dispatcher_impl.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch
{

dispatcher::dispatcher(dispatch_limits limits, std::int64_t token,
                       token_source next_token)
    : impl_(std::make_unique<impl>(limits, token, std::move(next_token)))
{
}

dispatcher::~dispatcher() = default;

std::int64_t dispatcher::token() const
{
    return impl_->token_;
}

void dispatcher::advance_token(std::int64_t token)
{
    impl_->advance_token(token);
}

void dispatcher::retire(time_point now)
{
    impl_->retire(now);
}

std::vector<std::string> dispatcher::release_idle()
{
    return impl_->release_idle();
}

std::size_t dispatcher::outranked() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        impl_->accounts_,
        [](auto const& each)
        {
            return each.second->link() == endpoint_link::outranked;
        }));
}

std::size_t dispatcher::outranked_since(time_point begin) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        impl_->accounts_,
        [&](auto const& each)
        {
            return each.second->link() == endpoint_link::outranked &&
                   !each.second->has_accepted_since(begin);
        }));
}

std::size_t dispatcher::usable() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        impl_->accounts_,
        [](auto const& each)
        {
            return each.second->link() == endpoint_link::active;
        }));
}

std::int64_t dispatcher::free_processor(time_point now) const
{
    return impl_->free_processor(now);
}

duration dispatcher::backlog() const
{
    return impl_->backlog();
}

std::vector<milliseconds> dispatcher::expected_waits(time_point now) const
{
    return impl_->expected_waits(now);
}

std::int64_t dispatcher::largest_free_processor() const
{
    return std::max<std::int64_t>(impl_->largest_free(), 0);
}

void dispatcher::submit(job_spec spec, std::string origin, time_point now)
{
    impl_->submit(std::move(spec), std::move(origin), now);
}

bool dispatcher::has_job(std::string const& id, std::string const& origin) const
{
    auto const found = impl_->jobs_.find(id);
    return found != impl_->jobs_.end() && found->second->origin == origin;
}

void dispatcher::withdraw(std::string const& id, std::string const& origin,
                          time_point now)
{
    impl_->withdraw(id, origin, now);
}

bool dispatcher::cancel(std::string const& id, time_point now)
{
    return impl_->cancel(id, now);
}

void dispatcher::cancel_jobs_of_origin(std::string const& origin,
                                       time_point now)
{
    impl_->cancel_jobs_of_origin(origin, now);
}

void dispatcher::end_all_jobs(time_point now)
{
    impl_->end_all_jobs(now);
}

void dispatcher::update_endpoint(endpoint_record record)
{
    impl_->update_endpoint(std::move(record));
}

void dispatcher::use_records_until(time_point end)
{
    impl_->records_usable_until_ = end;
}

void dispatcher::set_evacuated(bool evacuated, time_point now)
{
    impl_->set_evacuated(evacuated, now);
}

bool dispatcher::needs_records(time_point now) const
{
    return std::ranges::any_of(impl_->accounts_,
                               [&](auto const& each)
                               {
                                   return each.second->needs_record(now);
                               });
}

void dispatcher::remove_endpoint(std::string const& id)
{
    impl_->remove_endpoint(id);
}

std::optional<list_order> dispatcher::next_list(std::string const& endpoint,
                                                time_point now)
{
    return impl_->next_list(endpoint, now);
}

void dispatcher::list_answered(std::string const& endpoint,
                               list_order const& order, run_list const& list,
                               std::int64_t endpoint_clock, time_point sent,
                               time_point now)
{
    impl_->list_answered(endpoint, order, list, endpoint_clock, sent, now);
}

void dispatcher::list_failed(std::string const& endpoint,
                             order_response response, time_point now,
                             std::int64_t token)
{
    impl_->list_failed(endpoint, response, now, token);
}

std::optional<start_order> dispatcher::renew_unsent(start_order order)
{
    auto* const account = impl_->find(order.endpoint);
    if (account == nullptr || impl_->evacuated_ ||
        !account->renew_unsent(order))
        return std::nullopt;
    return order;
}

void dispatcher::start_answered(start_order const& order,
                                order_response response,
                                std::optional<std::int64_t> endpoint_clock,
                                time_point now)
{
    impl_->start_answered(order, response, endpoint_clock, now);
}

void dispatcher::stop_answered(stop_order const& order, order_response response,
                               time_point now)
{
    impl_->stop_answered(order, response, now);
}

void dispatcher::tick(time_point now)
{
    impl_->tick(now);
}

std::vector<start_order> dispatcher::take_starts()
{
    return std::exchange(impl_->starts_, {});
}

std::vector<stop_order> dispatcher::take_stops()
{
    return std::exchange(impl_->stops_, {});
}

std::vector<finished_job> dispatcher::take_finished()
{
    return std::exchange(impl_->finished_, {});
}

std::vector<decision> dispatcher::take_decisions()
{
    return std::exchange(impl_->decisions_, {});
}

std::vector<std::string> dispatcher::take_endpoints_to_poll()
{
    auto const taken = std::exchange(impl_->endpoints_to_poll_, {});
    return {taken.begin(), taken.end()};
}

speed_estimator& dispatcher::speeds()
{
    return impl_->speeds_;
}

std::vector<endpoint_status> dispatcher::status(time_point now) const
{
    return impl_->status(now);
}

std::size_t dispatcher::jobs() const
{
    return impl_->jobs_.size();
}

std::size_t dispatcher::runs() const
{
    return impl_->runs();
}

std::size_t dispatcher::waiting_tasks() const
{
    std::size_t count = 0;
    for (auto const& [key, job] : impl_->queue_.jobs())
        count += static_cast<std::size_t>(job->waiting_tasks);
    return count;
}

std::size_t dispatcher::endpoints() const
{
    return impl_->accounts_.size();
}

} // namespace masticshift::dispatch
