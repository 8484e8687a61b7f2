// Calls of load_model to endpoints.

#include "load_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

duration load_model::run_time_of(run_key const& run,
                                 modelled_endpoint const& on) const
{
    auto const id = run.task.substr(0, run.task.find('.'));
    auto const known = run_times_.find(id);
    auto const time =
        known == run_times_.end() ? milliseconds(60) : known->second;
    return std::chrono::duration_cast<duration>(time / on.speed);
}

void load_model::carry_out(start_order const& order)
{
    auto& to = endpoints_.at(order.endpoint);
    if (to.crashed)
        return;
    auto const before = to.model.starts().size();
    to.model.start(order, clock(), run_time_of(order.run, to), false);
    starts_ += to.model.starts().size() - before;
}

bool load_model::is_order_lost(std::function<void()> const& carry_out_later)
{
    if (!chance(faults_.lost_orders))
        return false;
    if (faults_.late_by > milliseconds(0))
    {
        std::uniform_int_distribution<std::int64_t> delay(
            0, faults_.late_by.count());
        at(now_ + milliseconds(delay(random_)), carry_out_later);
    }
    return true;
}

void load_model::send_start(std::size_t cell, start_order const& order)
{
    auto const timeout = timeout_of(order.endpoint);
    auto const fail = [this, cell, order]
    {
        ++endpoints_.at(order.endpoint).unanswered;
        cells_[cell].tested->start_answered(order, order_response::unanswered,
                                            std::nullopt, now_);
        flush(cell);
    };
    bool const lost =
        endpoints_.at(order.endpoint).crashed || is_order_lost(
                                                     [this, order]
                                                     {
                                                         carry_out(order);
                                                     });
    if (lost)
    {
        at(now_ + timeout, fail);
        return;
    }
    at(now_ + one_way,
       [this, cell, order, fail, timeout]
       {
           auto& to = endpoints_.at(order.endpoint);
           auto const before = to.model.starts().size();
           auto const response = to.model.start(
               order, clock(), run_time_of(order.run, to), false);
           starts_ += to.model.starts().size() - before;
           if (chance(faults_.lost_answers))
           {
               at(now_ + timeout - one_way, fail);
               return;
           }
           auto const told = clock();
           at(now_ + one_way,
              [this, cell, order, response, told]
              {
                  endpoints_.at(order.endpoint).unanswered = 0;
                  cells_[cell].tested->start_answered(order, response, told,
                                                      now_);
                  flush(cell);
              });
       });
}

void load_model::send_stop(std::size_t cell, stop_order const& order)
{
    auto const timeout = timeout_of(order.endpoint);
    auto const respond = [this, cell, order](order_response response)
    {
        if (response == order_response::unanswered)
            ++endpoints_.at(order.endpoint).unanswered;
        else
            endpoints_.at(order.endpoint).unanswered = 0;
        cells_[cell].tested->stop_answered(order, response, now_);
        flush(cell);
    };
    bool const lost = endpoints_.at(order.endpoint).crashed ||
                      is_order_lost(
                          [this, order]
                          {
                              auto& to = endpoints_.at(order.endpoint);
                              if (!to.crashed)
                                  to.model.stop(order, clock());
                          });
    if (lost)
    {
        at(now_ + timeout,
           [respond]
           {
               respond(order_response::unanswered);
           });
        return;
    }
    at(now_ + one_way,
       [this, order, respond, timeout]
       {
           auto const response =
               endpoints_.at(order.endpoint).model.stop(order, clock());
           bool const answer_lost = chance(faults_.lost_answers);
           at(now_ + (answer_lost ? timeout - one_way : one_way),
              [respond, response, answer_lost]
              {
                  respond(answer_lost ? order_response::unanswered : response);
              });
       });
}

milliseconds load_model::timeout_of(std::string const& endpoint)
{
    response_timeout timeout;
    for (int i = 0; i < 50; ++i)
        timeout.answered(2 * one_way);
    return timeout.after(endpoints_.at(endpoint).unanswered);
}

void load_model::poll(std::string const& id)
{
    auto& endpoint = endpoints_.at(id);
    auto const cell = endpoint.cell;
    auto const order = cells_[cell].tested->next_list(id, now_);
    endpoint.polled = order.has_value();
    if (!order)
        return;
    auto const timeout = order->wait + timeout_of(id);
    if (endpoint.crashed || chance(faults_.lost_orders))
    {
        at(now_ + timeout,
           [this, id]
           {
               list_failed(id);
           });
        return;
    }
    wait_for_end(id, *order, now_, now_ + order->wait + one_way, timeout);
}

void load_model::wait_for_end(std::string const& id, list_order const& order,
                              time_point sent, time_point until,
                              milliseconds timeout)
{
    at(now_ + one_way,
       [this, id, order, sent, until, timeout]
       {
           auto& endpoint = endpoints_.at(id);
           if (endpoint.crashed)
           {
               at(sent + timeout,
                  [this, id]
                  {
                      list_failed(id);
                  });
               return;
           }
           run_list list;
           auto const response = endpoint.model.list(order, clock(), list);
           if (list.ended.empty() && now_ < until)
           {
               wait_for_end(id, order, sent, until, timeout);
               return;
           }
           bool const lost = chance(faults_.lost_answers);
           auto const told = clock();
           at(lost ? sent + timeout : now_ + one_way,
              [this, id, order, sent, list, response, told, lost]
              {
                  if (lost || response != order_response::accepted)
                      list_failed(id);
                  else
                      list_answered(id, order, list, told, sent);
              });
       });
}

void load_model::list_answered(std::string const& id, list_order const& order,
                               run_list const& list, std::int64_t told,
                               time_point sent)
{
    auto const cell = endpoints_.at(id).cell;
    endpoints_.at(id).polled = false;
    endpoints_.at(id).unanswered = 0;
    endpoints_.at(id).lists_failed = 0;
    cells_[cell].tested->list_answered(id, order, list, told, sent, now_);
    flush(cell);
    if (!endpoints_.at(id).polled)
        poll(id);
}

void load_model::list_failed(std::string const& id)
{
    auto& endpoint = endpoints_.at(id);
    auto const cell = endpoint.cell;
    ++endpoint.unanswered;
    auto const doublings = std::min(endpoint.lists_failed++, 4U);
    auto const pause =
        std::min(first_retry_pause * (1 << doublings), longest_retry_pause);
    cells_[cell].tested->list_failed(id, order_response::unanswered, now_);
    flush(cell);
    at(now_ + pause,
       [this, id]
       {
           poll(id);
       });
}

} // namespace masticshift::dispatch::testing
