// Links and faults of resubmission_model.

#include "resubmission_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

void resubmission_model::send(std::string const& from, std::int64_t incarnation,
                              std::string const& to, content what)
{
    auto& used = links_[{from, to}];
    auto arrives = now_ + delay_of(used);
    if (now_ < used.ends)
        arrives = std::max(arrives, used.held_until);
    arrives = std::max(arrives, used.last_arrival);
    used.last_arrival = arrives;
    messages_.push_back({arrives, from, incarnation, to, std::move(what)});
}

duration resubmission_model::delay_of(link const& used) const
{
    if (now_ >= used.ends)
        return milliseconds(1);
    if (now_ >= used.slowest)
        return used.delay;
    auto const part = to_milliseconds(now_ - used.begins) /
                      to_milliseconds(used.slowest - used.begins);
    return std::chrono::duration_cast<duration>(used.delay * part);
}

void resubmission_model::begin_faults()
{
    constexpr int one_in_a_second = 200;
    if (chance(faults_.slow_links) && pick(1, one_in_a_second) <= 5)
        slow_down_link();
    if (chance(faults_.pauses) && pick(1, one_in_a_second) <= 3)
        pause_process();
    if (chance(faults_.entry_deaths) && pick(1, one_in_a_second) <= 2)
        kill_entry();
}

void resubmission_model::slow_down_link()
{
    auto const near =
        entries_[static_cast<std::size_t>(pick(0, entry_count - 1))].address;
    auto const far =
        dispatchers_[static_cast<std::size_t>(pick(0, dispatcher_count - 1))]
            .address;
    bool const holds = chance(50);
    auto const length = pick_time(milliseconds(100), longest_slowness);
    auto const delay = pick_time(milliseconds(50), milliseconds(1'000));
    // A queue that fills leaves no gap between the messages.
    auto const growth = chance(50) ? milliseconds(0) : delay * pick(1, 4);
    auto const ways = pick(1, 3);
    for (int way = 1; way <= 2; ++way)
    {
        if ((ways & way) == 0)
            continue;
        auto& slow =
            links_[way == 1 ? std::pair(near, far) : std::pair(far, near)];
        slow.ends = now_ + length;
        slow.delay = holds ? milliseconds(1) : delay;
        slow.begins = now_;
        slow.slowest = now_ + growth;
        slow.held_until = holds ? slow.ends : time_point{};
    }
    record({}, "link " + near + " " + far + ", ways " + std::to_string(ways) +
                   (holds ? " holds " : " delays ") +
                   std::to_string((holds ? length : delay).count()) +
                   " ms for " + std::to_string(length.count()) + " ms");
}

void resubmission_model::pause_process()
{
    auto const length = chance(50)
                            ? pick_time(milliseconds(200), longest_staleness)
                            : pick_time(milliseconds(20), longest_pause);
    std::string paused;
    if (chance(50))
    {
        auto& each =
            entries_[static_cast<std::size_t>(pick(0, entry_count - 1))];
        each.busy_until = now_ + length;
        paused = each.address;
    }
    else
    {
        auto& each = dispatchers_[static_cast<std::size_t>(
            pick(0, dispatcher_count - 1))];
        each.busy_until = now_ + length;
        paused = each.address;
    }
    record({},
           paused + " paused for " + std::to_string(length.count()) + " ms");
}

void resubmission_model::kill_entry()
{
    auto const number = pick(0, entry_count - 1);
    auto& died = entries_[static_cast<std::size_t>(number)];
    record({}, died.address + " dies");
    for (auto const& each : died.callers)
    {
        if (!each.gone)
            resubmit_later(each);
    }
    died = make_entry(number);
}

void resubmission_model::deliver_messages()
{
    std::vector<message> due;
    std::erase_if(messages_,
                  [&](message& each)
                  {
                      if (now_ < each.arrives)
                          return false;
                      due.push_back(std::move(each));
                      return true;
                  });
    for (auto& each : due)
    {
        for (auto& receiver : entries_)
        {
            if (receiver.address == each.to)
                receiver.inbox.push_back(each);
        }
        for (auto& receiver : dispatchers_)
        {
            if (receiver.address == each.to)
                receiver.inbox.push_back(each);
        }
    }
}

} // namespace masticshift::dispatch::testing
