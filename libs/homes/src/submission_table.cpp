#include <homes/submission_table.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticshift::homes
{

namespace
{

using enum result_code;

constexpr std::uint32_t first_generation = 1;

// A limit drops whole generations. With this many of them in a full table it
// drops a small part of the answers at a time.
constexpr std::size_t generations_per_limit = 8;

// Forgotten ids that one call frees. A submission adds one id, so they go much
// faster than new ones come.
constexpr std::size_t freed_per_submission = 32;
constexpr std::size_t freed_per_rotation = 1'024;

std::size_t share_of(std::size_t limit)
{
    return std::max<std::size_t>(1, limit / generations_per_limit);
}

answer_ptr unknown_outcome()
{
    kept_answer answer;
    answer.code = outcome_unknown;
    answer.ran = ran_state::unknown;
    answer.http_status = info_of(outcome_unknown).http_status;
    return std::make_shared<kept_answer const>(std::move(answer));
}

admission_decision attached(submission_number number)
{
    admission_decision decision;
    decision.kind = decision_kind::attach;
    decision.number = number;
    return decision;
}

} // namespace

submission_table::submission_table(submission_table_options options,
                                   time_point now)
    : options_(std::move(options)),
      signer_(options_.key),
      oldest_generation_(first_generation),
      oldest_open_generation_(first_generation)
{
    begin_generation(now);
}

home_token submission_table::current_token() const
{
    return token_;
}

void submission_table::rotate(time_point now)
{
    if (exported_)
        return;
    if (!closed_ && now - current().began >= options_.generation)
        begin_generation(now);
    close_old_generations(now);
    auto const last = std::prev(generations_.end());
    for (auto at = generations_.begin(); at != last;)
    {
        auto const& [number, old] = *at++;
        if (retention_passed(old, now))
            forget(number);
        else if (number >= oldest_generation_)
            break;
    }
    free_forgotten(freed_per_rotation);
}

admission_decision submission_table::admit(submission_id const& id,
                                           body_digest const& digest,
                                           time_point now)
{
    return take(id, digest, now);
}

admission_decision submission_table::refuse(submission_id const& id,
                                            body_digest const& digest,
                                            answer_ptr answer, time_point now)
{
    auto decision = take(id, digest, now);
    if (decision.kind != decision_kind::start)
        return decision;
    finish(id, answer, now);
    return answered(std::move(answer));
}

bool submission_table::finish(submission_id const& id, answer_ptr answer,
                              time_point now)
{
    if (find_entry(id) == nullptr)
        return false;
    auto& holder = generations_.at(id.home.generation);
    auto held = holder.running.extract(id.nonce);
    if (held.empty())
        return false;
    keep_answer(holder, std::move(held), std::move(answer), now);
    trim_answers(now);
    begin_generation_if_large(now);
    return true;
}

admission_decision submission_table::find(submission_id const& id) const
{
    if (auto refusal = check_home(id))
        return *std::move(refusal);
    if (auto const* const found = find_entry(id))
        return found->answer ? answered(found->answer)
                             : attached(found->number);
    auto const refusal = refuse_untaken(id);
    if (refusal && refusal->ran == ran_state::unknown)
        return *refusal;
    // An id that can still be taken may run later.
    auto const ran = refusal ? ran_state::not_run : ran_state::unknown;
    return refused(unknown_id, ran, "this id was not submitted here");
}

void submission_table::close_admission()
{
    closed_ = true;
}

handover_table submission_table::export_records(time_point now)
{
    close_admission();
    exported_ = true;
    handover_table table;
    table.header = {options_.self, oldest_generation_, current_number(), ids_};
    table.records.reserve(ids_);
    for (auto& [number, holder] : generations_)
    {
        home_token token{
            options_.self.address, options_.self.incarnation, number, {}};
        token = signer_.sign(std::move(token));
        end_running(holder, now);
        for (auto const& [nonce, held] : holder.answered)
            table.records.push_back({{token, nonce}, held.digest, held.answer});
    }
    return table;
}

table_statistics submission_table::statistics() const
{
    return {ids_,
            running_,
            answer_bytes_,
            generations_.size(),
            ids_dropped_early_,
            refused_full_};
}

submission_table::generation& submission_table::current()
{
    return std::prev(generations_.end())->second;
}

submission_table::generation const& submission_table::current() const
{
    return std::prev(generations_.end())->second;
}

std::uint32_t submission_table::current_number() const
{
    return std::prev(generations_.end())->first;
}

submission_table::entry const*
submission_table::find_entry(submission_id const& id) const
{
    if (!names(id.home, options_.self))
        return nullptr;
    auto const holder = generations_.find(id.home.generation);
    if (holder == generations_.end())
        return nullptr;
    for (auto const* ids : {&holder->second.running, &holder->second.answered})
    {
        auto const found = ids->find(id.nonce);
        if (found != ids->end())
            return &found->second;
    }
    return nullptr;
}

admission_decision submission_table::take(submission_id const& id,
                                          body_digest const& digest,
                                          time_point now)
{
    free_forgotten(freed_per_submission);
    close_old_generations(now);
    if (auto refusal = check_home(id))
        return *std::move(refusal);
    if (auto decision = decide_taken(id, digest))
        return *std::move(decision);
    if (auto refusal = refuse_untaken(id))
        return *std::move(refusal);
    if (!make_room_for_id(now))
    {
        ++refused_full_;
        return refused(overloaded, ran_state::unknown,
                       "every id that this entry can remember is running");
    }
    // Making room may have dropped the generation of this id.
    if (auto refusal = refuse_untaken(id))
        return *std::move(refusal);
    return start(id, digest, now);
}

std::optional<admission_decision>
submission_table::check_home(submission_id const& id) const
{
    if (!names(id.home, options_.self))
        return refused(outcome_unknown, ran_state::unknown,
                       "the id names another process");
    auto const verified = signer_.verify(id.home);
    if (!verified)
        // The MAC of a process never changes: no copy of this id gets further.
        return refused(verified.error().code, ran_state::not_run,
                       verified.error().detail);
    return std::nullopt;
}

std::optional<admission_decision>
submission_table::decide_taken(submission_id const& id,
                               body_digest const& digest) const
{
    auto const* const found = find_entry(id);
    if (found == nullptr)
        return std::nullopt;
    if (found->digest != digest)
    {
        auto const ran =
            found->answer ? found->answer->ran : ran_state::unknown;
        return refused(id_reused, ran,
                       "the id was submitted with another body");
    }
    if (found->answer)
        return answered(found->answer);
    return attached(found->number);
}

std::optional<admission_decision>
submission_table::refuse_untaken(submission_id const& id) const
{
    auto const number = id.home.generation;
    if (number < oldest_generation_)
        return refused(id_expired, ran_state::unknown,
                       "the generation of this id is no longer kept");
    if (closed_)
        return refused(draining, ran_state::not_run,
                       "this entry stops and takes no new ids");
    if (number > current_number())
        // That generation may begin later and then take this id.
        return refused(id_malformed, ran_state::unknown,
                       "the generation of this id has not begun");
    if (number < oldest_open_generation_)
        return refused(id_expired, ran_state::not_run,
                       "the generation of this id takes no new ids");
    return std::nullopt;
}

admission_decision submission_table::start(submission_id const& id,
                                           body_digest const& digest,
                                           time_point now)
{
    auto& holder = generations_.at(id.home.generation);
    auto const number = ++last_number_;
    holder.running.emplace(id.nonce, entry{digest, nullptr, number});
    ++running_;
    ++ids_;
    begin_generation_if_large(now);
    admission_decision decision;
    decision.kind = decision_kind::start;
    decision.number = number;
    return decision;
}

void submission_table::keep_answer(generation& holder, id_map::node_type held,
                                   answer_ptr answer, time_point now)
{
    auto const size = size_of(*answer);
    held.mapped().answer = std::move(answer);
    holder.answered.insert(std::move(held));
    holder.last_answer = now;
    holder.answer_bytes += size;
    answer_bytes_ += size;
    --running_;
}

void submission_table::end_running(generation& holder, time_point now)
{
    auto const answer = unknown_outcome();
    auto& running = holder.running;
    while (!running.empty())
        keep_answer(holder, running.extract(running.begin()), answer, now);
}

void submission_table::begin_generation(time_point now)
{
    auto number = first_generation;
    if (!generations_.empty())
    {
        current().ended = now;
        number = current_number() + 1;
    }
    generations_[number].began = now;
    token_ = signer_.sign(
        {options_.self.address, options_.self.incarnation, number, {}});
}

void submission_table::begin_generation_if_large(time_point now)
{
    auto const& filled = current();
    auto const ids = filled.running.size() + filled.answered.size();
    bool const large =
        ids >= share_of(options_.max_ids) ||
        filled.answer_bytes >= share_of(options_.max_answer_bytes);
    if (large && !closed_)
        begin_generation(now);
}

void submission_table::close_old_generations(time_point now)
{
    auto const last = std::prev(generations_.end());
    for (auto at = generations_.lower_bound(oldest_open_generation_);
         at != last && now - at->second.ended >= options_.retention; ++at)
        oldest_open_generation_ = at->first + 1;
}

bool submission_table::retention_passed(generation const& old,
                                        time_point now) const
{
    auto const since = std::max(old.ended, old.last_answer);
    return now - since >= options_.retention;
}

bool submission_table::make_room_for_id(time_point now)
{
    while (ids_ >= options_.max_ids)
    {
        if (!forget_early(now))
            return false;
    }
    return true;
}

void submission_table::trim_answers(time_point now)
{
    while (answer_bytes_ > options_.max_answer_bytes && forget_early(now))
    {
    }
}

// Forgets the oldest generation that has answers. False if there is none.
bool submission_table::forget_early(time_point now)
{
    for (auto const& [number, old] : generations_)
    {
        if (old.answered.empty())
            continue;
        if (&old == &current())
            begin_generation(now);
        ids_dropped_early_ += forget(number);
        return true;
    }
    return false;
}

// Drops the answers of a generation and gives their number. Running
// submissions stay, so that copies of them attach.
std::size_t submission_table::forget(std::uint32_t number)
{
    oldest_generation_ = std::max(oldest_generation_, number + 1);
    auto& old = generations_.at(number);
    auto const dropped = old.answered.size();
    ids_ -= dropped;
    answer_bytes_ -= std::exchange(old.answer_bytes, 0);
    if (dropped > 0)
        forgotten_.push_back(std::exchange(old.answered, {}));
    if (old.running.empty())
        generations_.erase(number);
    return dropped;
}

void submission_table::free_forgotten(std::size_t count)
{
    for (; count > 0 && !forgotten_.empty(); --count)
    {
        auto& ids = forgotten_.back();
        ids.erase(ids.begin());
        if (ids.empty())
            forgotten_.pop_back();
    }
}

} // namespace masticshift::homes
