// Endpoints of interleaving_model, the links to them, and held-up orders.

#include "interleaving_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

void interleaving_model::maybe_crash_endpoint()
{
    if (!chance(1) || !chance(rates_.crashes))
        return;
    ++counts_.restarts;
    auto const number =
        static_cast<std::size_t>(pick(0, static_cast<int>(endpoint_count) - 1));
    auto& crashed = endpoints_[number];
    auto const& cell = cells_[number / endpoints_per_cell];
    crashed.model.restart(crashed.model.record().started_ms + 1);
    crashed.down_until = now_ + milliseconds(pick(0, 1'500));
    crashed.started = crashed.down_until;
    crashed.record_read_at =
        crashed.down_until + pick_time(milliseconds(0), longest_record_delay);
    crashed.token_at_start =
        cell.present ? cell.present->tested->token() : cell.highest_token;
    crashed.drivers_at_start = drivers_;
    crashed.listed_by = 0;
    crashed.fenced = false;
    record({}, crashed.model.record().id + " crashes");
}

void interleaving_model::deliver_records()
{
    for (std::size_t i = 0; i < endpoint_count; ++i)
    {
        auto& each = endpoints_[i];
        if (!each.record_read_at || now_ < *each.record_read_at)
            continue;
        each.record_read_at.reset();
        auto& cell = cells_[i / endpoints_per_cell];
        for (auto* const reader : {cell.present.get(), cell.former.get()})
        {
            if (reader != nullptr)
                reader->tested->update_endpoint(each.model.record());
        }
    }
}

void interleaving_model::maybe_fail_link()
{
    if (!chance(10) || !chance(rates_.link_faults))
        return;
    auto const to =
        static_cast<std::size_t>(pick(0, static_cast<int>(endpoint_count) - 1));
    auto& cell = cells_[to / endpoints_per_cell];
    auto* const from =
        cell.former && chance(30) ? cell.former.get() : cell.present.get();
    if (from != nullptr)
        fail_link(*from, to, now_, 2'500);
}

void interleaving_model::fail_link(driver& from, std::size_t to,
                                   time_point begins, int longest_ms)
{
    ++counts_.link_faults;
    auto const kind = static_cast<link_fault>(pick(1, 4));
    from.links[to] = {kind, begins,
                      begins + milliseconds(pick(20, longest_ms))};
    record({}, name_of_driver(from) + " link to e" + std::to_string(to) +
                   " fails, kind " + std::to_string(static_cast<int>(kind)));
}

void interleaving_model::cut_off_some(driver& from)
{
    if (!chance(50))
        return;
    for (std::size_t i = 0; i < endpoint_count; ++i)
    {
        if (chance(50))
            fail_link(from, i, now_ + pick_time(milliseconds(0), dead_after),
                      3'000);
    }
}

std::optional<order_response>
interleaving_model::undelivered(driver const& from, std::size_t to) const
{
    auto const fault = fault_of(from, to);
    if (fault == link_fault::refuses || is_down(endpoints_[to]))
        return order_response::connection_refused;
    if (fault == link_fault::not_sent)
        return order_response::not_sent;
    if (fault == link_fault::loses_orders)
        return order_response::unanswered;
    return std::nullopt;
}

bool interleaving_model::loses_response(driver const& from, std::size_t to)
{
    return fault_of(from, to) == link_fault::loses_responses ||
           chance(rates_.lost_answers);
}

void interleaving_model::send_start(driver& from, start_order order)
{
    auto const number = index_of(order.endpoint);
    auto& to = endpoints_[number];
    auto& tested = *from.tested;
    auto const what = name_of_driver(from) + " orders run " +
                      std::to_string(order.run.number) + " at " +
                      order.endpoint + ": ";
    if (auto const failed = undelivered(from, number))
    {
        record(order.run.task, what + name_of(*failed));
        tested.start_answered(order, *failed, std::nullopt, time_of(from));
        return;
    }
    if (assumes_other(order.process_started_ms, to))
    {
        record(order.run.task, what + "not sent to the next process");
        tested.start_answered(order, order_response::other_instance,
                              std::nullopt, time_of(from));
        return;
    }
    order.bound = rates_.binds_orders;
    if (chance(rates_.late_orders))
    {
        record(order.run.task, what + "held up");
        late_orders_.push_back({now_ + milliseconds(pick(0, longest_delay_ms)),
                                number, order, std::nullopt, std::nullopt,
                                bound_process(to)});
        tested.start_answered(order, order_response::unanswered, std::nullopt,
                              time_of(from));
        return;
    }
    auto const length =
        run_length(order.run.task.substr(0, order.run.task.find('.')));
    auto const response =
        to.model.start(order, clock(to), length, chance(rates_.failed_runs));
    bool const lost = loses_response(from, number);
    record(order.run.task,
           what + name_of(response) + (lost ? ", response lost" : ""));
    if (lost)
        tested.start_answered(order, order_response::unanswered, std::nullopt,
                              time_of(from));
    else
        tested.start_answered(order, response, clock(to), time_of(from));
}

void interleaving_model::send_stop(driver& from, stop_order const& order)
{
    auto const number = index_of(order.endpoint);
    auto& to = endpoints_[number];
    auto& tested = *from.tested;
    auto const what = name_of_driver(from) + " stops run " +
                      std::to_string(order.run.number) + " at " +
                      order.endpoint + ": ";
    if (auto const failed = undelivered(from, number))
    {
        record(order.run.task, what + name_of(*failed));
        tested.stop_answered(order, *failed, time_of(from));
        return;
    }
    if (chance(rates_.late_orders))
    {
        late_orders_.push_back({now_ + milliseconds(pick(0, longest_delay_ms)),
                                number, std::nullopt, order, std::nullopt,
                                bound_process(to)});
        if (chance(50))
            tested.stop_answered(order, order_response::unanswered,
                                 time_of(from));
        return;
    }
    auto const response = to.model.stop(order, clock(to));
    record(order.run.task, what + name_of(response));
    if (!loses_response(from, number))
        tested.stop_answered(order, response, time_of(from));
}

void interleaving_model::read(driver& from, std::size_t number)
{
    auto& to = endpoints_[number];
    auto& tested = *from.tested;
    auto const id = to.model.record().id;
    auto order = tested.next_list(id, time_of(from));
    if (!order)
        return;
    if (assumes_other(order->process_started_ms, to))
        order = order->for_any_process();
    if (auto const failed = undelivered(from, number))
    {
        tested.list_failed(id, *failed, time_of(from));
        return;
    }
    if (chance(rates_.late_orders))
    {
        late_orders_.push_back(
            {now_ +
                 milliseconds(pick(shortest_list_delay_ms, longest_delay_ms)),
             number, std::nullopt, std::nullopt, order, bound_process(to)});
        tested.list_failed(id, order_response::unanswered, time_of(from));
        return;
    }
    run_list list;
    auto const response = to.model.list(*order, clock(to), list);
    if (response == order_response::accepted)
        note_accepted_list(from, to);
    if (loses_response(from, number))
        tested.list_failed(id, order_response::unanswered, time_of(from));
    else if (response != order_response::accepted)
        tested.list_failed(id, response, time_of(from));
    else
    {
        to.listed_by = from.number;
        tested.list_answered(id, *order, list, clock(to), time_of(from),
                             time_of(from));
    }
}

void interleaving_model::note_accepted_list(driver const& from,
                                            endpoint& to) const
{
    auto const& cell =
        cells_[index_of(to.model.record().id) / endpoints_per_cell];
    if (cell.present.get() == &from &&
        (from.number > to.drivers_at_start || from.number == to.listed_by))
        to.fenced = true;
}

void interleaving_model::deliver_late_orders()
{
    std::erase_if(late_orders_,
                  [&](late_order const& each)
                  {
                      if (now_ < each.at)
                          return false;
                      auto& to = endpoints_[each.endpoint];
                      if (!is_down(to) && !assumes_other(each.process, to))
                          deliver(each, to);
                      return true;
                  });
}

void interleaving_model::deliver(late_order const& late, endpoint& to)
{
    if (late.stop)
        to.model.stop(*late.stop, clock(to));
    if (late.start)
        deliver_start(*late.start, to);
    if (late.list)
        deliver_list(*late.list, to);
}

void interleaving_model::deliver_start(start_order const& order, endpoint& to)
{
    if (passes_unfenced(to, order.token))
    {
        ++counts_.unfenced_starts;
        if (!rates_.delivers_unfenced)
            return;
    }
    ++counts_.late_starts;
    auto const response =
        to.model.start(order, clock(to), milliseconds(300), false);
    if (response == order_response::outranked)
        ++counts_.late_outranked;
    record(order.run.task, "held-up run " + std::to_string(order.run.number) +
                               " at " + order.endpoint + ": " +
                               name_of(response));
}

void interleaving_model::deliver_list(list_order const& order, endpoint& to)
{
    if (passes_unfenced(to, order.token))
    {
        ++counts_.unfenced_lists;
        if (!rates_.delivers_unfenced)
            return;
    }
    ++counts_.late_lists;
    run_list list;
    if (to.model.list(order, clock(to), list) == order_response::outranked)
        ++counts_.late_outranked;
}

} // namespace masticshift::dispatch::testing
