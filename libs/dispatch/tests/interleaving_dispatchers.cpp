// Dispatchers of interleaving_model, their failures and successors.

#include "interleaving_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

std::int64_t interleaving_model::next_token(std::int64_t known,
                                            std::int64_t token_step,
                                            int number) const
{
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(now_ - time_point{})
            .count();
    auto const claim = std::max<std::int64_t>(
        (known >> token_claim_shift) + token_step, seconds);
    return (claim << token_claim_shift) | number;
}

void interleaving_model::start_dispatcher(std::size_t number)
{
    auto& cell = cells_[number];
    cell.number = number;
    cell.present = std::make_unique<driver>();
    auto& started = *cell.present;
    started.number = ++drivers_;
    auto const known = chance(50) ? cell.highest_token : cell.known_token;
    auto const token = next_token(known, 1, started.number);
    cell.known_token = token;
    started.tested = std::make_unique<dispatcher>(
        dispatch_limits{rates_.longest_lease, 1}, token);
    if (cell.former && chance(50))
    {
        for (std::size_t i = 0; i < endpoint_count; ++i)
        {
            if (chance(50))
                fail_link(started, i, now_, 4'000);
        }
    }
    for (auto i = number * endpoints_per_cell;
         i < (number + 1) * endpoints_per_cell; ++i)
        started.tested->update_endpoint(endpoints_[i].model.record());
    record({}, name_of_driver(started) + " starts");
}

interleaving_model::driver* interleaving_model::find_driver(int number)
{
    for (auto& cell : cells_)
    {
        if (cell.present && cell.present->number == number)
            return cell.present.get();
        if (cell.former && cell.former->number == number &&
            now_ >= cell.former->resumes)
            return cell.former.get();
    }
    return nullptr;
}

void interleaving_model::maybe_fail_dispatcher()
{
    for (auto& cell : cells_)
    {
        if (!cell.present)
        {
            if (now_ >= cell.successor_at)
                start_dispatcher(cell.number);
            continue;
        }
        if (!chance(1) || !chance(30))
            continue;
        cell.successor_at = now_ + dead_after;
        if (chance(50))
            kill_dispatcher(cell);
        else if (chance(rates_.suspensions))
            suspend_dispatcher(cell);
        else
            pause_dispatcher(cell);
    }
}

void interleaving_model::kill_dispatcher(cell& of)
{
    record({}, name_of_driver(*of.present) + " dies");
    resend_jobs_of(*of.present, {});
    of.present.reset();
}

void interleaving_model::pause_dispatcher(cell& of)
{
    record({}, name_of_driver(*of.present) + " paused");
    resend_jobs_of(*of.present, dead_after / 2);
    of.former = std::move(of.present);
    of.former->resumes = now_ + milliseconds(pick(0, 1'500));
    of.former->ends = now_ + milliseconds(pick(0, 3'000));
    cancel_all_origins(*of.former, now_ + dead_after);
}

void interleaving_model::suspend_dispatcher(cell& of)
{
    ++counts_.suspensions;
    record({}, name_of_driver(*of.present) + " suspended");
    resend_jobs_of(*of.present, pick_time(milliseconds(350), dead_after));
    of.former = std::move(of.present);
    auto const length = milliseconds(pick(450, 4'000));
    auto& former = *of.former;
    former.resumes = now_ + length;
    former.ends = former.resumes + milliseconds(pick(0, 1'500));
    if (!rates_.counts_suspension)
        former.lag += length;
    bool const trusts_origins =
        !rates_.counts_suspension || rates_.reads_old_heartbeats;
    cancel_all_origins(former, former.resumes +
                                   (trusts_origins
                                        ? pick_time(milliseconds(0), dead_after)
                                        : milliseconds(0)));
    // Some cells stay without a dispatcher: no other entry can claim them.
    if (chance(30))
        of.successor_at = former.ends;
}

void interleaving_model::cancel_all_origins(driver& of, time_point at)
{
    for (int number = 0; number < entry_count; ++number)
        cancel_origin(of, entry_name(number), at);
}

void interleaving_model::drive_cell(cell& of)
{
    if (of.former && now_ >= of.former->resumes)
    {
        drive(*of.former);
        take_finished(*of.former);
        if (now_ >= of.former->ends)
            of.former.reset();
    }
    if (!of.present)
        return;
    raise_if_outranked(*of.present);
    drive(*of.present);
    take_finished(*of.present);
    of.highest_token = std::max(of.highest_token, of.present->tested->token());
}

void interleaving_model::raise_if_outranked(driver& from)
{
    if (from.tested->outranked() == 0 ||
        now_ - from.token_advanced < token_advance_interval)
        return;
    from.token_advanced = now_;
    from.token_step *= 2;
    from.tested->advance_token(
        next_token(from.tested->token(), from.token_step, from.number));
}

void interleaving_model::drive(driver& from)
{
    std::erase_if(
        from.cancels,
        [&](auto const& each)
        {
            if (now_ < each.second)
                return false;
            record({}, name_of_driver(from) + " cancels " + each.first);
            from.tested->cancel_jobs_of_origin(each.first, time_of(from));
            return true;
        });
    from.tested->tick(time_of(from));
    for (auto const& order : from.tested->take_starts())
        send_start(from, order);
    for (auto const& order : from.tested->take_stops())
        send_stop(from, order);
    for (std::size_t to = 0; to < endpoint_count; ++to)
        read(from, to);
}

} // namespace masticshift::dispatch::testing
