#include "cell_runner.hpp"

#include <core/log.hpp>
#include <dispatch/outage_backoff.hpp>
#include <platform/run_codec.hpp>

#include <algorithm>

namespace masticshift::gateway
{

namespace
{

/// Wait while there is no list order due for an endpoint. The dispatcher ends
/// it early when the endpoint has to be polled.
constexpr milliseconds idle_pause{2'000};

/// How often a start looks for a connection to the process that it assumes.
constexpr unsigned max_identifications = 4;

/// An endpoint responds within two milliseconds: a call that waits this long
/// for a connection in use is likely to get one.
constexpr milliseconds connection_wait{8};

/// While an endpoint does not respond, its new connections are those of the
/// lists of `watch_endpoint`, and one in this time of other calls.
constexpr milliseconds unproven_wait{100};

/// The same while connections are refused. A lease has ended by then.
constexpr milliseconds refused_wait{1'000};

/// How long a connection without a response in time is kept open. An order may
/// be carried out seconds later.
constexpr milliseconds late_response{4'000};

/// For orders and identifications.
constexpr transport::connection_use shared_connections{
    connection_wait, unproven_wait, refused_wait, late_response, false};

/// For the lists of `watch_endpoint`, which notice that an endpoint responds
/// again.
transport::connection_use connections_for(dispatch::list_order const& order)
{
    transport::connection_use use;
    use.late_response = late_response;
    use.holds = order.wait > milliseconds(0);
    return use;
}

/// Whether a start goes on after this response to the list that was to identify
/// the process. No part of the start was sent, so that a lost response is no
/// loss.
bool may_identify_again(dispatch::order_response response)
{
    return response == dispatch::order_response::accepted ||
           response == dispatch::order_response::unanswered ||
           response == dispatch::order_response::not_sent;
}

dispatch::order_response response_of(transport::call_failure const& failed)
{
    if (failed.stage == transport::call_stage::written)
        return dispatch::order_response::unanswered;
    return failed.error.code == result_code::peer_unreachable
               ? dispatch::order_response::connection_refused
               : dispatch::order_response::not_sent;
}

} // namespace

asio::awaitable<void> cell_runner::watch_endpoint(self_ptr self,
                                                  std::string endpoint)
{
    dispatch::outage_backoff backoff;
    auto const watched = self->watch_timers_.find(endpoint);
    if (watched == self->watch_timers_.end())
        co_return;
    auto const wake = watched->second;
    while (!self->stopped_)
    {
        // Another loop watches an endpoint that was removed and added again.
        auto const found = self->watch_timers_.find(endpoint);
        if (found == self->watch_timers_.end() || found->second != wake)
            co_return;
        auto const now = steady_clock::now();
        self->drop_unwanted_jobs(now);
        auto const order = self->dispatcher_->next_list(endpoint, now);
        auto wait = idle_pause;
        if (order)
        {
            if (co_await self->read_list(endpoint, *order))
            {
                backoff.answered(steady_clock::now());
                continue;
            }
            wait = backoff.failed(steady_clock::now());
        }
        wake->expires_after(wait);
        co_await wake->async_wait(as_values);
    }
}

asio::awaitable<transport::call_result>
cell_runner::call_endpoint(std::string endpoint,
                           transport::http_request request, milliseconds wait,
                           transport::call_checks checks)
{
    auto const record = records_.find(endpoint);
    if (record == records_.end())
        co_return transport::call_failure{
            transport::call_stage::not_connected,
            {result_code::cancelled, "endpoint was removed; order not sent"}};
    auto const ip = record->second.ip;
    auto const port = record->second.port;
    auto const begun = steady_clock::now();
    auto const lost = unanswered_.find(endpoint);
    auto const timeout = response_timeout_.after(
        lost == unanswered_.end() ? 0 : lost->second.count);
    auto const deadline = begun + checks.connections.wait + wait + timeout;
    // The wait for a connection is no part of the response time.
    auto sent = begun;
    checks.may_send = [&sent](time_point now)
    {
        sent = now;
        return true;
    };
    auto result = co_await endpoints_.call(ip, port, std::move(request),
                                           deadline, std::move(checks));
    // Not tried, which shows nothing of the endpoint.
    if (!result && result.error().error.code == result_code::cancelled)
        co_return result;
    if (result)
    {
        unanswered_.erase(endpoint);
        // A call with a wait measures the wait, not the response time.
        if (wait == milliseconds(0))
            response_timeout_.answered(steady_clock::now() - sent);
        co_return result;
    }
    state_.metrics.unanswered.add();
    // One lost response does not show that the other pooled connections are
    // broken; two in a row do.
    auto& calls =
        unanswered_.try_emplace(endpoint, lost_calls{0, begun}).first->second;
    if (++calls.count > 1)
        endpoints_.close_pooled(ip, port, calls.since);
    co_return result;
}

cell_runner::list_call
cell_runner::read_response(transport::http_response const& response)
{
    list_call made;
    made.response = platform::decode_endpoint_response(response).outcome;
    if (made.response == dispatch::order_response::accepted)
        made.decoded = platform::decode_list(response, made.skipped);
    return made;
}

asio::awaitable<cell_runner::list_call>
cell_runner::call_list(std::string endpoint, dispatch::list_order order)
{
    auto const made = std::make_shared<list_call>();
    transport::call_checks checks;
    checks.required_server = order.process_started_ms;
    checks.connections = connections_for(order);
    checks.identify_server = [made](transport::http_response const& response)
    {
        *made = read_response(response);
        return made->process();
    };
    state_.metrics.lists.add();
    auto const result =
        co_await call_endpoint(endpoint, platform::encode_list(order, endpoint),
                               order.wait, std::move(checks));
    if (!result)
    {
        made->response = response_of(result.error());
        made->unidentified =
            result.error().stage == transport::call_stage::unidentified;
    }
    co_return std::move(*made);
}

asio::awaitable<bool> cell_runner::read_list(std::string endpoint,
                                             dispatch::list_order order)
{
    auto const sent = steady_clock::now();
    auto made = co_await call_list(endpoint, order);
    if (made.unidentified)
    {
        order = order.for_any_process();
        made = co_await call_list(endpoint, order);
    }
    if (stopped_)
        co_return false;
    catch_up_after_pause(steady_clock::now());
    if (made.decoded)
        co_return apply_list(endpoint, order, sent, made);
    dispatcher_->list_failed(endpoint, made.response, steady_clock::now(),
                             order.token);
    flush();
    co_return false;
}

bool cell_runner::apply_list(std::string const& endpoint,
                             dispatch::list_order const& order, time_point sent,
                             list_call const& made)
{
    auto const& decoded = *made.decoded;
    auto const skipped = made.skipped;
    if (!decoded || skipped > 0)
        log_event(log_level::warning, "list_unreadable",
                  {{"endpoint", endpoint},
                   {"code", static_cast<int>(result_code::platform_bad_answer)},
                   {"skipped", skipped},
                   {"complete", decoded && decoded->list.complete},
                   {"detail", decoded ? "" : decoded.error().detail}});
    if (!decoded)
        dispatcher_->list_failed(endpoint, dispatch::order_response::malformed,
                                 steady_clock::now());
    else
        dispatcher_->list_answered(endpoint, order, decoded->list,
                                   decoded->clock, sent, steady_clock::now());
    flush();
    // An end that can't be read is not acknowledged, and the endpoint lists it
    // at once again.
    return decoded && skipped == 0;
}

asio::awaitable<dispatch::order_response>
cell_runner::identify_process(dispatch::start_order order, unsigned attempt)
{
    auto const record = records_.find(order.endpoint);
    if (record == records_.end())
        co_return dispatch::order_response::not_sent;
    dispatch::list_order list;
    list.token = order.token;
    // Its runs are left to `watch_endpoint`, whose lists are in order.
    auto const made = std::make_shared<list_call>();
    transport::call_checks checks;
    checks.connections = shared_connections;
    checks.identify_server = [made](transport::http_response const& response)
    {
        *made = read_response(response);
        return made->process();
    };
    state_.metrics.identifications.add();
    // Nothing depends on one such call: a lost one is repeated soon, and says
    // nothing of the other connections.
    auto const result = co_await endpoints_.call(
        record->second.ip, record->second.port,
        platform::encode_list(list, order.endpoint),
        steady_clock::now() + response_timeout_.of_attempt(attempt),
        std::move(checks));
    if (!result)
        co_return response_of(result.error());
    if (made->process() == order.process_started_ms)
        co_return dispatch::order_response::accepted;
    if (made->process() != 0)
        co_return dispatch::order_response::other_instance;
    co_return made->response == dispatch::order_response::accepted
        ? dispatch::order_response::unanswered
        : made->response;
}

asio::awaitable<platform::endpoint_response>
cell_runner::start_at_process(dispatch::start_order& order)
{
    platform::endpoint_response response;
    for (unsigned attempt = 0;; ++attempt)
    {
        transport::call_checks checks;
        checks.required_server = order.process_started_ms;
        checks.connections = shared_connections;
        auto const result = co_await call_endpoint(
            order.endpoint, platform::encode_start(order, order.endpoint),
            milliseconds(0), std::move(checks));
        if (result)
            co_return platform::decode_endpoint_response(*result);
        response.outcome = response_of(result.error());
        if (result.error().stage != transport::call_stage::unidentified)
            co_return response;
        response.outcome = dispatch::order_response::unidentified;
        if (attempt == max_identifications)
            co_return response;
        auto const identified = co_await identify_process(order, attempt);
        if (stopped_)
            co_return response;
        catch_up_after_pause(steady_clock::now());
        auto const renewed = dispatcher_->renew_unsent(order);
        if (!renewed || is_resuming(steady_clock::now()))
        {
            response.outcome = dispatch::order_response::outdated;
            co_return response;
        }
        order = *renewed;
        if (!may_identify_again(identified))
        {
            response.outcome = identified;
            co_return response;
        }
    }
}

asio::awaitable<void> cell_runner::send_start(self_ptr self,
                                              dispatch::start_order order)
{
    platform::endpoint_response response;
    // After a pause the order may be for a former process of the endpoint, and
    // its job unwanted.
    if (self->is_resuming(steady_clock::now()))
    {
        response.outcome = dispatch::order_response::not_sent;
    }
    // The order may have been made just before the evacuation.
    else if (self->evacuated_)
    {
        response.outcome = dispatch::order_response::outdated;
    }
    else
    {
        response = co_await self->start_at_process(order);
        order.bound = order.process_started_ms != 0;
    }
    if (self->stopped_)
        co_return;
    self->catch_up_after_pause(steady_clock::now());
    self->dispatcher_->start_answered(order, response.outcome, response.clock,
                                      steady_clock::now());
    self->flush();
}

asio::awaitable<void> cell_runner::send_stop(self_ptr self,
                                             dispatch::stop_order order)
{
    // The next process of the endpoint may get it: nothing of the run is there.
    transport::call_checks any_process;
    any_process.connections = shared_connections;
    auto const result = co_await self->call_endpoint(
        order.endpoint, platform::encode_stop(order, order.endpoint),
        milliseconds(0), any_process);
    if (self->stopped_)
        co_return;
    self->catch_up_after_pause(steady_clock::now());
    auto const response =
        result ? platform::decode_endpoint_response(*result).outcome
               : response_of(result.error());
    self->dispatcher_->stop_answered(order, response, steady_clock::now());
    self->flush();
}

} // namespace masticshift::gateway
